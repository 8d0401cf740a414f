package figlifecycle

import (
	"slices"

	"k8s.io/klog/v2"
)

// RegisterRelease registers release to run once when the request ends, and returns true. If
// the request has already ended, it runs release at once and returns false. The name need not
// be unique.
func (l *Lifecycle) RegisterRelease(name string, release func()) bool {
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

// Release runs the release last registered under name now, before the request ends, and
// removes it. It returns false if there is none.
func (l *Lifecycle) Release(name string) bool {
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

// releaseAll runs the releases in reverse order of registration.
func releaseAll(releases []*registeredRelease) {
	for _, r := range slices.Backward(releases) {
		releaseOne(r)
	}
}

// releaseOne runs one release. It recovers from a panic, so that the remaining releases still
// run.
func releaseOne(r *registeredRelease) {
	defer func() {
		if v := recover(); v != nil {
			klog.ErrorS(nil, "release function panicked", "hold", r.name, "panic", v)
		}
	}()
	r.release()
}
