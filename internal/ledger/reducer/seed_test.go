package reducer_test

import "flag"

// init pins the seed of property tests, so that each run draws the same cases.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
