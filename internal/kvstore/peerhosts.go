package kvstore

// How a host gets the list of hosts while the store doesn't serve it: it asks a peer to read
// the list. Servers that leave, or whose capacity shrinks, must not be missed for as long as
// the store turns this host away.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavayoke/internal/peer"
)

const (
	// hostsName is the name of the call by which a peer asks for the list of hosts.
	hostsName = "Hosts"
	// peerHostsDelay is how long the store may take before a peer is asked as well. It is many
	// times what a read takes.
	peerHostsDelay = 400 * time.Millisecond
)

var (
	errStoreDown = errors.New("the store doesn't serve this host")
	errNoPeer    = errors.New("no peer is up")
)

// readHostList returns the list of hosts from the store or, if that fails or takes long, from a
// peer for which the store has served it. It returns the error of the store.
func (s *Service) readHostList(ctx context.Context) (HostList, error) {
	type read struct {
		list HostList
		err  error
	}
	done := make(chan read, 1)
	go func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, err := s.cfg.Store.Hosts(callCtx, s.hostsVersion.Load())
		s.recordStoreResult(err)
		done <- read{list, err}
	}(ctx)
	select {
	case r := <-done:
		if r.err == nil {
			return r.list, nil
		}
		if list, err := s.hostsFromPeer(ctx); err == nil {
			return list, nil
		}
		return HostList{}, r.err
	case <-time.After(peerHostsDelay):
	}
	list, err := s.hostsFromPeer(ctx)
	if err == nil {
		return list, nil
	}
	r := <-done
	return r.list, r.err
}

// hostsFromPeer fetches the list of hosts from a random peer. It returns an error if the list
// is older than the one that this host knows.
func (s *Service) hostsFromPeer(ctx context.Context) (HostList, error) {
	m, ok := s.randomPeer()
	if !ok {
		return HostList{}, errNoPeer
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := s.peers.Call(callCtx, m.Address, m.Incarnation, hostsName, nil)
	if err != nil {
		return HostList{}, fmt.Errorf("fetch the list of hosts: %w", err)
	}
	list, invalid, err := decodeHostList(raw)
	if err != nil {
		s.cfg.Log.Warn().Str("Peer", m.Name).Err(err).Msg("MessageMalformed")
		return HostList{}, fmt.Errorf("decode the list of hosts: %w", err)
	}
	if known := s.hostsVersion.Load(); list.Version < known {
		return HostList{}, fmt.Errorf("list of hosts of version %d is older than %d", list.Version, known)
	}
	s.cfg.Log.Info().Str("Peer", m.Name).Uint64("Version", list.Version).Int("Hosts", len(list.Hosts)).Int("Invalid", invalid).Msg("HostsFetched")
	return list, nil
}

// decodeHostList decodes the list of a peer. It also returns the number of invalid hosts in it.
func decodeHostList(raw []byte) (list HostList, invalid int, err error) {
	if err := cbor.Unmarshal(raw, &list); err != nil {
		return HostList{}, 0, err
	}
	invalid = list.dropInvalid()
	return list, invalid, nil
}

// dropInvalid removes the hosts with a value out of bounds, which a peer of an earlier version
// takes for hosts, and returns their number. Those with a name stay listed as InvalidServer.
func (l *HostList) dropInvalid() int {
	invalid := 0
	valid := l.Hosts[:0]
	for _, h := range l.Hosts {
		if h.Validate() != nil {
			invalid++
			h = Host{Name: h.Name, Kind: InvalidServer}
			if h.Validate() != nil {
				continue
			}
		}
		valid = append(valid, h)
	}
	l.Hosts = valid
	return invalid
}

// serveHosts handles the call by which a peer asks for the list of hosts. It reads the list, and
// fails at once if the store doesn't serve this host either.
func (s *Service) serveHosts(ctx context.Context, _ []byte) ([]byte, error) {
	if s.StoreDown() {
		return nil, errStoreDown
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.cfg.Store.Hosts(callCtx, 0)
	if err != nil {
		return nil, fmt.Errorf("read the list of hosts: %w", err)
	}
	b, err := cbor.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode the list of hosts: %w", err)
	}
	return b, nil
}

// randomPeer returns a random member that is up; ok is false if there is none.
func (s *Service) randomPeer() (m peer.Member, ok bool) {
	var up []peer.Member
	for _, m := range s.peers.Members() {
		if m.Up() {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return peer.Member{}, false
	}
	return up[s.cfg.Nonce()%uint64(len(up))], true
}
