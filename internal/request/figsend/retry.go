package figsend

// Retryable reports whether a retry of an idempotent call can succeed after err.
func Retryable(err error) bool {
	switch KindOf(err) {
	case KindConnect, KindBusy, KindRefused, KindTimeout, KindIncomplete, KindMismatched, KindStalled, KindMalformed:
		return true
	default:
		return false
	}
}
