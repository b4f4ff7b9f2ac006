package reducer_test

import "flag"

// init sets a fixed seed, so that property tests generate the same cases in each run.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
