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
		l.holds = append(l.holds, &hold{name: name, release: release})
		l.mu.Unlock()
		return true
	}
	l.mu.Unlock()
	releaseOne(&hold{name: name, release: release})
	return false
}

// Release runs the newest release registered under name before the end. It
// returns false if there is none left.
func (l *Life) Release(name string) bool {
	l.mu.Lock()
	for i, h := range slices.Backward(l.holds) {
		if h.name != name {
			continue
		}
		l.holds = slices.Delete(l.holds, i, i+1)
		l.mu.Unlock()
		releaseOne(h)
		return true
	}
	l.mu.Unlock()
	return false
}

// releaseAll runs the releases, last one first.
func releaseAll(holds []*hold) {
	for _, h := range slices.Backward(holds) {
		releaseOne(h)
	}
}

// releaseOne runs one release. A panic in it must not keep the others from running.
func releaseOne(h *hold) {
	defer func() {
		if v := recover(); v != nil {
			klog.ErrorS(nil, "release panicked", "hold", h.name, "panic", v)
		}
	}()
	h.release()
}
