//go:build !linux

package figsend

// peerClosed says nothing where the kernel can't tell.
func peerClosed(int) bool { return false }
