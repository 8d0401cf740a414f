package figsend

// Repeatable reports whether a retry of an idempotent call can succeed after err.
func Repeatable(err error) bool {
	switch KindOf(err) {
	case KindConnect, KindBusy, KindRefused, KindSilent, KindCut, KindCrossed, KindStalled:
		return true
	default:
		return false
	}
}
