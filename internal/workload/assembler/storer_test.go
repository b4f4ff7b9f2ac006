package assembler_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/assembler"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// TestRefusedRecordIsNotAppendedDirectly guards against an instance that writes a job in the
// holder's place although the holder has refused it.
func TestRefusedRecordIsNotAppendedDirectly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := assembler.AppendAsHolderForTest(ctx, reducer.Record{Key: "submission/x"}, scheduler.StoredCmd{Result: scheduler.StoreRefused, Reason: "too late", RetryAfterMS: 7000})
	var got *acceptor.Refusal
	if !errors.As(err, &got) {
		t.Fatalf("error %v, want a refusal", err)
	}
	if diff := cmp.Diff(&acceptor.Refusal{Reason: "too late", RetryAfterMS: 7000}, got); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}
