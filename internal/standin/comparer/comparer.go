// Package comparer holds a test's output against a golden file.
//
//	comparer.Golden(t, "testdata/session.txt", got)
//
// go test -update writes the files anew.
package comparer

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Golden fails the test when got differs from the file.
func Golden(t testing.TB, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", file, diff)
	}
}
