package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// rawServer starts a server and returns its address. For each request it calls
// answer, which writes to the connection itself and so can send malformed answers.
func rawServer(t *testing.T, answer func(c net.Conn, task string)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					answer(c, req.Header.Get(TaskHeader))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func reply(c net.Conn, status int, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

func taskHeaderLine(task string) string { return TaskHeader + ": " + task + "\r\n" }

func TestClientOutcomes(t *testing.T) {
	tests := map[string]struct {
		answer func(c net.Conn, task string)
		want   Outcome
	}{
		"Complete":  {func(c net.Conn, task string) { reply(c, 200, taskHeaderLine(task), "ok") }, OutcomeAnswered},
		"Failed":    {func(c net.Conn, task string) { reply(c, 500, taskHeaderLine(task), "no") }, OutcomeFailed},
		"OtherTask": {func(c net.Conn, _ string) { reply(c, 200, taskHeaderLine("other"), "ok") }, OutcomeLost},
		"NoTask":    {func(c net.Conn, _ string) { reply(c, 200, "", "ok") }, OutcomeLost},
		"Busy": {func(c net.Conn, task string) {
			reply(c, 503, taskHeaderLine(task)+RefusedHeader+": "+RefusedBusy+"\r\n", "")
		}, OutcomeBusy},
		"Leaving": {func(c net.Conn, task string) {
			reply(c, 503, taskHeaderLine(task)+RefusedHeader+": "+RefusedLeaving+"\r\n", "")
		}, OutcomeLeaving},
		"CutOff": {func(c net.Conn, task string) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%sContent-Length: 100\r\n\r\nhalf", taskHeaderLine(task))
			_ = c.Close()
		}, OutcomeLost},
		"Closed":   {func(c net.Conn, _ string) { _ = c.Close() }, OutcomeLost},
		"NoAnswer": {func(net.Conn, string) {}, OutcomeLost},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClient(rawServer(t, tc.answer))
			if x := c.send("task1", []byte("{}"), time.Now().Add(500*time.Millisecond)); x.outcome != tc.want {
				t.Errorf("outcome %d (%v), want %d", x.outcome, x.err, tc.want)
			}
		})
	}
}

func TestClientConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if x := newClient(address).send("t", nil, time.Now().Add(time.Second)); x.outcome != OutcomeNotSent {
		t.Errorf("outcome %d (%v), want not sent", x.outcome, x.err)
	}
}

// TestLateAnswerIsNotMatchedToNextTask checks that the client does not use a
// connection again after a timeout: the late answer would arrive as the answer to
// the next task.
func TestLateAnswerIsNotMatchedToNextTask(t *testing.T) {
	release := make(chan struct{})
	address := rawServer(t, func(c net.Conn, task string) {
		if task == "slow" {
			<-release
		}
		reply(c, 200, taskHeaderLine(task), task)
	})
	c := newClient(address)
	if x := c.send("slow", nil, time.Now().Add(100*time.Millisecond)); x.outcome != OutcomeLost {
		t.Fatalf("outcome %d, want lost", x.outcome)
	}
	close(release)
	for range 3 {
		if x := c.send("next", nil, time.Now().Add(2*time.Second)); x.outcome != OutcomeAnswered || string(x.body) != "next" {
			t.Fatalf("outcome %d, body %q", x.outcome, x.body)
		}
	}
}

// TestClosedConnectionIsNotReused checks that no task is lost when the server closes
// an idle connection, because the client checks the connection before it sends.
func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := rawServer(t, func(c net.Conn, task string) {
		reply(c, 200, taskHeaderLine(task), "ok")
		if task == "first" {
			_ = c.Close()
			closed <- struct{}{}
		}
	})
	c := newClient(address)
	if x := c.send("first", nil, time.Now().Add(time.Second)); x.outcome != OutcomeAnswered {
		t.Fatalf("outcome %d", x.outcome)
	}
	<-closed
	for c.conn != nil && c.conn.reusable() {
		// Wait until the close has arrived over loopback.
		runtime.Gosched()
	}
	if x := c.send("second", nil, time.Now().Add(time.Second)); x.outcome != OutcomeAnswered {
		t.Errorf("outcome %d (%v)", x.outcome, x.err)
	}
}
