package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the system.
type daemon struct {
	name, zone string
	binary     string
	settings   map[string]any
	file, log  string
	front      string
	ready      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// freeAddress returns a loopback address that nobody listens on, below the ports that connections
// take, so that it is still free when a daemon starts again.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
}

// given has the addresses that freeAddress has returned.
var given = map[string]bool{}

// newDaemon makes the settings of a daemon, as the template of the deploy file does for a small
// deployment.
func newDaemon(dir, binary, name, zone, storeAddress, peerAddress string, seeds []string) (*daemon, error) {
	d := &daemon{name: name, zone: zone, binary: binary, file: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"), front: freeAddress(), ready: freeAddress()}
	d.settings = map[string]any{
		"Name": name, "Environment": "production", "FailureDomain": zone, "Region": "region", "CallerAddress": d.front, "PeerAddress": peerAddress,
		"OperatorAddress": d.ready, "MetricsAddress": freeAddress(), "PlatformAddresses": []string{storeAddress}, "Seeds": seeds,
		"PeerKey":  strings.Repeat("8f1d6a0c52e94b77", 4),
		"CPUShare": 0.4, "MemoryMB": 284, "MaxFiles": 4100, "StopLimitMs": 5500, "StopKillSeconds": 6, "ConfigurationApplyMs": 2000,
		"LogLevel": "info", "Adapter": "Users",
	}
	b, err := json.Marshal(d.settings)
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.file, b, 0o600)
}

func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.binary, "-settings", d.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	return nil
}

// kill ends the process with SIGKILL.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// isReady asks the daemon as the platform's balancer does.
func (d *daemon) isReady() bool {
	status, _, _ := request("GET", d.ready, "/ready", "", "", nil, time.Second)
	return status == 200
}
