package peer

import "testing"

// TestSendWithReserve guards against submissions that take the room of heartbeats and
// acknowledgments in the send queue of a link.
func TestSendWithReserve(t *testing.T) {
	queued := 0
	st := &Stream{send: func(frame) bool { queued++; return queued <= linkQueueFrames }, queued: func() int { return queued }}
	for n := range linkQueueFrames {
		if sent := st.SendWithReserve(nil); sent != (n < linkQueueFrames/2) {
			t.Fatalf("message %d was queued: %v", n, sent)
		}
	}
	if !st.Send(nil) {
		t.Error("there is no room left for other messages")
	}
}
