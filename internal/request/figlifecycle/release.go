package figlifecycle

import (
	"slices"

	"k8s.io/klog/v2"
)

// Hold registers release to run once when the request ends, and returns true.
// If the request has ended, it runs release at once and returns false.
func (l *Life) Hold(name string, release func()) bool {
	l.mu.Lock()
	if l.state.phase != Ended {
		l.releases = append(l.releases, &registeredRelease{name: name, release: release})
		l.mu.Unlock()
		return true
	}
	l.mu.Unlock()
	releaseOne(&registeredRelease{name: name, release: release})
	return false
}

// Release runs the newest release registered under name before the end. It
// returns false if there is none left.
func (l *Life) Release(name string) bool {
	l.mu.Lock()
	for i, r := range slices.Backward(l.releases) {
		if r.name != name {
			continue
		}
		l.releases = slices.Delete(l.releases, i, i+1)
		l.mu.Unlock()
		releaseOne(r)
		return true
	}
	l.mu.Unlock()
	return false
}

// releaseAll runs the releases, last one first.
func releaseAll(releases []*registeredRelease) {
	for _, r := range slices.Backward(releases) {
		releaseOne(r)
	}
}

// releaseOne runs one release. A panic in it must not keep the others from running.
func releaseOne(r *registeredRelease) {
	defer func() {
		if v := recover(); v != nil {
			klog.ErrorS(nil, "release panicked", "hold", r.name, "panic", v)
		}
	}()
	r.release()
}
