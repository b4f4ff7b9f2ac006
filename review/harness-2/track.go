package main

import "sync"

// tracked is the deployment whose processes killAll ends.
var tracked struct {
	mu sync.Mutex
	d  *deployment
}

func track(d *deployment) {
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	tracked.d = d
}

// killAll ends the processes of the deployment.
func killAll() {
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	if tracked.d != nil {
		tracked.d.close()
	}
}
