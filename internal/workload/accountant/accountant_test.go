package accountant_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/describer"
)

func accelerators(n int) describer.Resources { return describer.Resources{Accelerators: n} }

// TestLimit guards against starts beyond a limit, and against units that are held back although
// the limit allows them.
func TestLimit(t *testing.T) {
	limit := accountant.Limit{Maximum: accelerators(30), Tolerance: 0.1}
	for _, c := range []struct {
		name   string
		use    accountant.Use
		need   describer.Resources
		excess int
	}{
		{"up to the maximum", accountant.Use{}.With(accountant.Present, accelerators(20)), accelerators(10), 0},
		{"one more", accountant.Use{}.With(accountant.Present, accelerators(21)), accelerators(10), 1},
		{"planned, starting, stopping and reserved work counts", accountant.Use{}.With(accountant.Planned, accelerators(8)).With(accountant.Starting, accelerators(8)).With(accountant.Stopping, accelerators(8)).With(accountant.Reserved, accelerators(8)), accelerators(1), 3},
		{"late starts count against the tolerance", accountant.Use{}.With(accountant.Present, accelerators(20)).With(accountant.Late, accelerators(3)), accelerators(10), 0},
		{"more late starts than the tolerance", accountant.Use{}.With(accountant.Present, accelerators(20)).With(accountant.Late, accelerators(2)).With(accountant.Unrecorded, accelerators(2)), accelerators(10), 1},
		{"barred starts don't count", accountant.Use{}.With(accountant.Barred, accelerators(100)), accelerators(30), 0},
		{"alone above the maximum", accountant.Use{}, accelerators(33), 0},
		{"alone above the tolerance", accountant.Use{}, accelerators(34), 1},
		{"above the maximum, not alone", accountant.Use{}.With(accountant.Present, accelerators(1)), accelerators(33), 4},
		{"nothing starts above the limit, whatever it needs", accountant.Use{}.With(accountant.Present, accelerators(31)), describer.Resources{CPU: 1}, 1},
		{"unlimited resources", accountant.Use{}.With(accountant.Present, describer.Resources{CPU: 1 << 40}), describer.Resources{CPU: 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(accelerators(c.excess), limit.Excess(c.use, c.need)); diff != "" {
				t.Errorf("excess (-want +got):\n%s", diff)
			}
		})
	}
	if _, short, ok := limit.Impossible(describer.Job{Steps: []describer.Step{{Count: 100, Need: accelerators(1)}, {Count: 34, Gang: true, Need: accelerators(1)}}}); !ok || short.Name != "Accelerators" {
		t.Errorf("a gang of 34 under a limit of 30 is possible: %t, short of %q", !ok, short.Name)
	}
}

// TestShares guards against an order that depends on when a holder has learned of the jobs.
func TestShares(t *testing.T) {
	times := []int64{0, 1000, 2000, 2000, 2100, 7000, 7001}
	var inOrder, reversed accountant.Shares
	for i, at := range times {
		inOrder.Add(fmt.Sprint(i), "a", at)
		inOrder.Add(fmt.Sprint(i), "a", at)
		reversed.Add(fmt.Sprint(i), "a", times[len(times)-1-i])
	}
	inOrder.Add("removed", "a", 2050)
	inOrder.Remove("removed")
	var got, gotReversed []bool
	for _, at := range times {
		got = append(got, inOrder.Beyond("a", at, 0.8, 5000))
		gotReversed = append(gotReversed, reversed.Beyond("a", at, 0.8, 5000))
	}
	// 0.8 jobs a second are 4 in the window.
	want := []bool{false, false, false, false, true, false, false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("beyond the share (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(got, gotReversed); diff != "" {
		t.Errorf("added in reverse order (-in order +reversed):\n%s", diff)
	}
	if inOrder.Beyond("a", 2100, 0, 5000) || inOrder.Beyond("b", 2100, 1, 5000) {
		t.Error("a workspace without a weight or without jobs is beyond its share")
	}
}
