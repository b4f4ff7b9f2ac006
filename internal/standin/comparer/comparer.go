// Package comparer compares the output of a test with a golden file.
//
//	comparer.Golden(t, "testdata/session.txt", got)
//
// go test -update rewrites the golden files.
package comparer

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Golden fails the test if got differs from the content of the file. With
// -update, it writes got to the file first.
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
