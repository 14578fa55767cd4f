package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

// hostMemoryMB and hostFiles are the limits of the host in these tests.
const (
	hostMemoryMB = 128
	hostFiles    = 1024
	// fewFiles is the limit of a host with fewer descriptors than the crowd has connections.
	fewFiles = 256
)

// misbehaving is a crowd of clients that send requests of legal size.
type misbehaving struct {
	// adapter is that of the daemon, files the number of descriptors of its host.
	adapter string
	files   int
	address func(p *process) string
	clients int
	send    func(i int, c net.Conn) error
}

func callers(p *process) string   { return p.set.CallerAddress }
func peers(p *process) string     { return p.set.PeerAddress }
func operators(p *process) string { return p.set.OperatorAddress }
func collectors(p *process) string {
	return p.set.MetricsAddress
}

// write returns a function that sends a text, in which %016x stands for the number of the client.
func write(text string) func(int, net.Conn) error {
	return func(i int, c net.Conn) error {
		_, err := c.Write([]byte(strings.ReplaceAll(text, "%016x", fmt.Sprintf("%016x", i))))
		return err
	}
}

// connect opens a connection and sends nothing.
func connect(int, net.Conn) error { return nil }

// pieces returns a function that sends a text in pieces, with pauses.
func pieces(text string, size int) func(int, net.Conn) error {
	return func(i int, c net.Conn) error {
		text := strings.ReplaceAll(text, "%016x", fmt.Sprintf("%016x", i))
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := c.Write([]byte(text[:n])); err != nil {
				return err
			}
			text = text[n:]
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

// paced returns a function that sends a text some time after the client before it.
func paced(text string, interval time.Duration) func(int, net.Conn) error {
	return func(i int, c net.Conn) error {
		time.Sleep(time.Duration(i) * interval)
		return write(text)(i, c)
	}
}

const jobLine = "POST /jobs/%016x HTTP/1.1\r\nHost: " + queueHost + "\r\n"

// submission returns a request that submits a job, with more header lines.
func submission(header, body string) string {
	return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", jobLine, header, len(body), body)
}

// bodyShortOfEnd returns a request whose body of size bytes lacks its last byte.
func bodyShortOfEnd(line, header string, size int) string {
	return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n", line, header, size) + strings.Repeat(" ", size-1)
}

// fill repeats a text up to a size.
func fill(text string, size int) string { return strings.Repeat(text, size/len(text)) }

// chunked returns a body of size bytes in chunks, without the last one.
func chunked(size int) string {
	const chunk = 1000
	return fill(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk)), size+size/chunk*7)
}

// list returns a list in JSON that fills a body of size bytes between two texts.
func list(before, element, after string, size int) string {
	body := before + fill(element+",", size-len(before)-len(element)-len(after)) + element + after
	return body
}

// helloShortOfEnd opens a WebSocket as peers do, and sends the greatest message but its last byte.
func helloShortOfEnd(_ int, c net.Conn) error {
	const size = 8 << 20
	upgrade := "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	if _, err := c.Write([]byte(upgrade)); err != nil {
		return err
	}
	header := binary.BigEndian.AppendUint64([]byte{0x82, 0xff}, size)
	if _, err := c.Write(append(header, 1, 2, 3, 4)); err != nil {
		return err
	}
	_, err := c.Write(make([]byte, size-1))
	return err
}

const (
	ordinaryBody = `{"spec":"5 1000","best-effort":true,"steps":[{"count":1,"cpu":1000,"estimate-ms":5}]}`
	ownLine      = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
	ownBodyBytes = 4 << 20
)

func ownSubmission(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ownLine, len(body), body)
}

// ownJob submits a job with a thousand answers, and ownAnswers asks for them.
var (
	ownID      = uuid.Must(uuid.NewV7()).String()
	ownJob     = ownSubmission(list(fmt.Sprintf(`{"ID":%q,"Team":"referral","Service":"booking","NoWait":true,"Tasks":[`, ownID), `{"Body":{"RunMs":1}}`, "]}", 20_000))
	ownAnswers = fill(fmt.Sprintf("GET /v1/jobs/%s?WaitMs=20000 HTTP/1.1\r\nHost: x\r\n\r\n", ownID), 64<<10)
)

var crowds = map[string]misbehaving{
	"ShortHeaderLines":      {"Users", hostFiles, callers, 900, write(submission(fill("a:\r\n", maxHeaderBytes-400), ordinaryBody))},
	"ShortHeaderLinesNoEnd": {"Users", hostFiles, callers, 900, write(jobLine + fill("a:\r\n", maxHeaderBytes-400))},
	"BareLineFeeds":         {"Users", hostFiles, callers, 900, write(submission(fill("a:\n", maxHeaderBytes-400)+"a:\r\n", ordinaryBody))},
	"MalformedHeaderLines":  {"Users", hostFiles, callers, 900, write(submission(fill("a:\r\n", maxHeaderBytes-800)+strings.Repeat("\x01", 300)+"\r\n", ordinaryBody))},
	"BodiesShortOfEnd":      {"Users", hostFiles, callers, 600, write(bodyShortOfEnd(jobLine, "", maxBodyBytes))},
	"BodiesPieceByPiece":    {"Users", hostFiles, callers, 600, pieces(bodyShortOfEnd(jobLine, "", maxBodyBytes), 16<<10)},
	"ChunkedBodies":         {"Users", hostFiles, callers, 600, pieces(jobLine+"Transfer-Encoding: chunked\r\n\r\n"+chunked(maxBodyBytes-1000), 16<<10)},
	"Trailers":              {"Users", hostFiles, callers, 900, write(jobLine + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(ordinaryBody), ordinaryBody) + fill("a:\r\n", maxHeaderBytes-800) + "\r\n")},
	"ManySteps":             {"Users", hostFiles, callers, 100, write(submission("", list(`{"spec":"5 1","best-effort":true,"steps":[`, "{}", "]}", maxBodyBytes)))},
	"ManyStepsBefore":       {"Users", hostFiles, callers, 100, write(submission("", list(`{"spec":"5 1","best-effort":true,"steps":[{"count":1,"after":[`, "0", "]}]}", maxBodyBytes)))},
	"ManyTasks":             {"Users", hostFiles, callers, 300, paced(submission("", `{"spec":"1 1","best-effort":true,"steps":[{"count":10000,"cpu":1,"mem-mb":1000,"estimate-ms":1}]}`), 20*time.Millisecond)},
	"Connections":           {"Users", fewFiles, callers, 400, connect},
	"AnswersUnread":         {"Users", fewFiles, callers, 400, write(fill("GET /jobs/ HTTP/1.1\r\nHost: "+queueHost+"\r\n\r\n", 4<<20))},
	"PeerConnections":       {"Users", fewFiles, peers, 400, connect},
	"PeerHellos":            {"Users", hostFiles, peers, 40, helloShortOfEnd},
	"PeerBodies":            {"Users", hostFiles, peers, 100, write(bodyShortOfEnd("POST /peer HTTP/1.1\r\nHost: x\r\n", "", 4<<20))},
	"OperatorConnections":   {"Users", fewFiles, operators, 400, connect},
	"OperatorBodies":        {"Users", hostFiles, operators, 100, write(bodyShortOfEnd("POST /ready HTTP/1.1\r\nHost: x\r\n", "", 4<<20))},
	"CollectorConnections":  {"Users", fewFiles, collectors, 400, connect},
	"CollectorBodies":       {"Users", hostFiles, collectors, 100, write(bodyShortOfEnd("POST /metrics HTTP/1.1\r\nHost: x\r\n", "", 4<<20))},
	"OwnConnections":        {"", fewFiles, callers, 400, connect},
	"OwnBodiesShortOfEnd":   {"", hostFiles, callers, 150, write(bodyShortOfEnd(ownLine, "", ownBodyBytes))},
	"OwnAnswersUnread":      {"", hostFiles, callers, 900, write(ownJob + ownAnswers)},
	"OwnManyTasks":          {"", hostFiles, callers, 30, write(ownSubmission(list(`{"Team":"referral","Service":"booking","Tasks":[`, "{}", "]}", ownBodyBytes)))},
	"OwnManyProblems":       {"", hostFiles, callers, 30, write(ownSubmission(list(`{"Team":"referral","Service":"booking","Tasks":[`, "0", "]}", ownBodyBytes)))},
	"OwnTasksWait":          {"", hostFiles, callers, 100, paced(ownSubmission(fmt.Sprintf(`{"Team":"referral","Service":"booking","NoWait":true,"Tasks":[{"Body":{"RunMs":9000,"Text":"%s"}}]}`, strings.Repeat("a", ownBodyBytes-200))), 100*time.Millisecond)},
	"OwnShortHeaderLines":   {"", hostFiles, callers, 900, write("GET /v1/jobs?" + fill("a&", 2000) + " HTTP/1.1\r\nHost: x\r\n" + fill("a:\r\n", 1900) + "\r\n")},
}

// TestMisbehavingClients checks that no crowd of clients that send requests of legal size ends a
// daemon, makes it exceed its host's memory or descriptors, or keeps it from answering ordinary
// callers and operators, neither while the crowd stays connected nor after it has left.
func TestMisbehavingClients(t *testing.T) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			p := start(t, c.adapter, hostMemoryMB, c.files)
			defer func() { t.Logf("peak memory: %d MB", p.peakMemory(t)>>20) }()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			crowd(ctx, c.address(p), c.clients, c.send)
			if n := p.openFiles(t); n > c.files {
				t.Errorf("%d descriptors are open, the host has %d", n, c.files)
			}
			p.expectAnswer(t)
			leave()
			p.expectAnswer(t)
			p.expectReady(t, p.set.OperatorAddress)
			p.expectReady(t, p.set.MetricsAddress)
			if peak := p.peakMemory(t); peak > hostMemoryMB<<20 {
				t.Errorf("the process has used up to %d MB, the host has %d MB", peak>>20, hostMemoryMB)
			}
		})
	}
}

// TestPeersKeepTheirPart checks that hosts find each other while crowds hold connections to the peers'
// address of one of them, or exhaust the part of its callers.
func TestPeersKeepTheirPart(t *testing.T) {
	for _, name := range []string{"PeerConnections", "PeerHellos", "Connections", "BodiesShortOfEnd"} {
		t.Run(name, func(t *testing.T) {
			c := crowds[name]
			p := start(t, c.adapter, hostMemoryMB, c.files)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			crowd(ctx, c.address(p), c.clients, c.send)
			other := start(t, c.adapter, hostMemoryMB, hostFiles, p.set.PeerAddress)
			p.expectMember(t, other.set.Name)
			other.expectMember(t, p.set.Name)
		})
	}
}

// TestLargestRequest checks that a single request of the greatest legal size is served, on a host of
// the same size as in the other tests.
func TestLargestRequest(t *testing.T) {
	step := `{"count":2,"cpu":100,"estimate-ms":5}`
	job := list(`{"spec":"5 100","best-effort":true,"steps":[`, step, "]}", 200*(len(step)+1))
	own := `{"Team":"referral","Service":"booking","Tasks":[{"Body":{"RunMs":5,"Text":"`
	cases := map[string]struct{ adapter, text string }{
		"Users":    {"Users", submission(fill("a:\r\n", maxHeaderBytes-400), job+strings.Repeat(" ", maxBodyBytes-len(job)))},
		"Trailers": {"Users", jobLine + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(job), job) + fill("a:\r\n", maxHeaderBytes-800) + "\r\n"},
		"Own":      {"", ownSubmission(own + strings.Repeat("a", ownBodyBytes-len(own)-5) + `"}}]}`)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := start(t, c.adapter, hostMemoryMB, hostFiles)
			conn, err := net.Dial("tcp", p.set.CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := write(c.text)(1, conn); err != nil {
				t.Fatal(err)
			}
			status := make([]byte, len("HTTP/1.1 200"))
			if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 200" {
				t.Errorf("the response begins with %q: %v\n%s", status, err, p.logTail())
			}
			if peak := p.peakMemory(t); peak > hostMemoryMB<<20 {
				t.Errorf("the process has used up to %d MB, the host has %d MB", peak>>20, hostMemoryMB)
			}
		})
	}
}

// TestStopWithMisbehavingClients checks that connections whose request never becomes complete don't use
// up the time that a daemon has for its stop.
func TestStopWithMisbehavingClients(t *testing.T) {
	cases := map[string]struct{ adapter, text string }{
		"Header":    {"Users", jobLine},
		"Body":      {"Users", bodyShortOfEnd(jobLine, "", 1000)},
		"OwnHeader": {"", ownLine},
		"OwnBody":   {"", bodyShortOfEnd(ownLine, "", 1000)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := start(t, c.adapter, hostMemoryMB, hostFiles)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			crowd(ctx, p.set.CallerAddress, 10, write(c.text))
			p.expectAnswer(t)
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			<-p.exited
			if code := p.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("exit code %d\n%s", code, p.logTail())
			}
		})
	}
}

// cutConn is a connection that fails after a number of bytes, and pauses now and then.
type cutConn struct {
	net.Conn
	left int
	rand *rand.Rand
}

func (c *cutConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if c.left <= 0 {
			return written, io.ErrShortWrite
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+min(c.left, 1+c.rand.IntN(256<<10)))])
		written += n
		c.left -= n
		if err != nil {
			return written, err
		}
		if c.rand.IntN(8) == 0 {
			time.Sleep(time.Duration(c.rand.IntN(50)) * time.Millisecond)
		}
	}
	return written, nil
}

// TestMixedCrowd checks the same as TestMisbehavingClients with clients that come and leave, each of which
// behaves like one of any of its crowds and breaks off at any byte, at all addresses at once.
// GUAVAYOKE_SEEDS=1+50 runs fifty seeds from the first one on.
func TestMixedCrowd(t *testing.T) {
	first, count := uint64(1), uint64(2)
	if text := os.Getenv("GUAVAYOKE_SEEDS"); text != "" {
		if _, err := fmt.Sscanf(text, "%d+%d", &first, &count); err != nil {
			t.Fatal(err)
		}
	}
	names := slices.Sorted(maps.Keys(crowds))
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			adapter := []string{"Users", ""}[seed%2]
			p := start(t, adapter, hostMemoryMB, hostFiles)
			ctx, leave := context.WithTimeout(context.Background(), 5*time.Second)
			defer leave()
			var clients sync.WaitGroup
			for i := range 300 {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				clients.Go(func() {
					for ctx.Err() == nil {
						c := crowds[names[r.IntN(len(names))]]
						if c.adapter != adapter {
							continue
						}
						nc, err := net.DialTimeout("tcp", c.address(p), time.Second)
						if err != nil {
							continue
						}
						stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
						_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
						_ = c.send(r.IntN(50), &cutConn{nc, 1 << r.IntN(23), r})
						time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
						stop()
						_ = nc.Close()
					}
				})
			}
			for ctx.Err() == nil {
				p.expectAnswer(t)
				if n := p.openFiles(t); n > hostFiles {
					t.Errorf("%d descriptors are open, the host has %d", n, hostFiles)
				}
			}
			clients.Wait()
			p.expectAnswer(t)
			p.expectReady(t, p.set.OperatorAddress)
			p.expectReady(t, p.set.MetricsAddress)
			if peak := p.peakMemory(t); peak > hostMemoryMB<<20 {
				t.Errorf("the process has used up to %d MB, the host has %d MB", peak>>20, hostMemoryMB)
			} else {
				t.Logf("peak memory: %d MB", peak>>20)
			}
		})
	}
}
