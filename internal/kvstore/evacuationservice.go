package kvstore

// How a host learns which failure domains are evacuated and tells its peers.

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// evacuationsName names the heartbeat item and the one-way message by which peers
	// exchange the evacuations.
	evacuationsName = "Evacuations"
	// maxEvacuatedDomains limits the failure domains that a peer may name, far above
	// those of an installation, so that a malformed message stays small.
	maxEvacuatedDomains = 64
	// maxRevision bounds the revisions of the store, which JSON numbers hold exactly.
	maxRevision = 1<<53 - 1
)

// wireEvacuations is the wire format of Evacuations.
type wireEvacuations struct {
	Revision       uint64
	FailureDomains []string
}

// EvacuationsRead describes a read of the evacuations from the store that has ended.
type EvacuationsRead struct {
	// Took is the time since the read began. What it returned is at least that old.
	Took time.Duration
	// Err is the error of the store, or nil.
	Err error
}

// OnEvacuations registers a function that is called with the evacuations, if they are
// known, and with each later set that differs from the one before.
func (s *Service) OnEvacuations(f func(Evacuations)) { s.evacuations.Listen(f) }

// OnEvacuationsRead registers a function that is called after each read of the evacuations
// from the store, whether it failed or not. If they have changed, the functions of
// OnEvacuations have returned before.
func (s *Service) OnEvacuationsRead(f func(EvacuationsRead)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEvacuationsRead = append(s.onEvacuationsRead, f)
}

// Evacuations returns the evacuations that this host knows. The Revision is 0 if it knows
// none.
func (s *Service) Evacuations() Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.current
}

// RereadEvacuations reads the evacuations from the store at once, unless calls to it fail.
func (s *Service) RereadEvacuations() {
	if s.cfg.Evacuations {
		s.runSyncer(s.ctx, "", s.syncer.Reread)
	}
}

// evacuationsRead handles the result of a read that began at started.
func (s *Service) evacuationsRead(started time.Time, v Value, err error) {
	if !s.cfg.Evacuations {
		return
	}
	if v.Evacuations != nil {
		s.learnEvacuations(sourceRead, *v.Evacuations)
	}
	s.mu.Lock()
	listeners := s.onEvacuationsRead
	s.mu.Unlock()
	for _, f := range listeners {
		f(EvacuationsRead{time.Since(started), err})
	}
}

// learnEvacuations takes the evacuations that source tells: sourceRead, sourceWatch or the
// name of a peer. It passes a set that differs on to the listeners and, if this host is an
// announcer, to the hosts of the failure domain, for those that the store doesn't serve.
func (s *Service) learnEvacuations(source string, e Evacuations) {
	s.mu.Lock()
	previous := s.register.current
	_, changed := s.register.learn(e)
	s.mu.Unlock()
	if !changed {
		return
	}
	s.cfg.Log.Info().Uint64("Revision", e.Revision).Strs("FailureDomains", loggedDomains(e)).Str("Source", source).
		Uint64("Previous", previous.Revision).Strs("PreviousFailureDomains", loggedDomains(previous)).Msg("EvacuationApplied")
	passedOn := false
	s.evacuations.Update(func(old Evacuations) (Evacuations, bool) {
		current := s.Evacuations()
		passedOn = current.Revision > old.Revision
		return current, passedOn
	})
	if !passedOn || !s.announcer.Load() {
		return
	}
	body, self := s.publishEvacuations(), s.peers.Self()
	for _, m := range s.peers.Members() {
		if m.Up() && m.FailureDomain == self.FailureDomain {
			s.peers.Notify(m.Incarnation, evacuationsName, body)
		}
	}
}

// loggedDomains returns the failure domains of a set for a log line.
func loggedDomains(e Evacuations) []string {
	return e.FailureDomains[:min(len(e.FailureDomains), maxEvacuatedDomains)]
}

// publishEvacuations returns the encoded wireEvacuations that this host knows, or nil if it
// knows none.
func (s *Service) publishEvacuations() []byte {
	e := s.Evacuations()
	if e.Revision == 0 {
		return nil
	}
	inUse := map[string]bool{s.peers.Self().FailureDomain: true}
	for _, m := range s.peers.Members() {
		inUse[m.FailureDomain] = true
	}
	return encodeEvacuations(e, inUse)
}

// encodeEvacuations encodes a set for peers. Of a set with too many failure domains, which
// another program must have written, it encodes those that have hosts: no others matter.
func encodeEvacuations(e Evacuations, inUse map[string]bool) []byte {
	if len(e.FailureDomains) > maxEvacuatedDomains {
		used := slices.DeleteFunc(slices.Clone(e.FailureDomains), func(d string) bool { return !inUse[d] })
		e.FailureDomains = used[:min(len(used), maxEvacuatedDomains)]
	}
	b, err := cbor.Marshal(wireEvacuations(e))
	if err != nil {
		// A number and texts can always be encoded.
		panic(err)
	}
	return b
}

// decodeEvacuations decodes the set of a peer. A revision that no store has would stay the
// highest one forever.
func decodeEvacuations(b []byte) (Evacuations, error) {
	var w wireEvacuations
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Evacuations{}, fmt.Errorf("decode evacuations: %w", err)
	}
	if w.Revision > maxRevision || len(w.FailureDomains) > maxEvacuatedDomains {
		return Evacuations{}, &BoundsError{"Revision or FailureDomains"}
	}
	for _, d := range w.FailureDomains {
		if d == "" || len(d) > maxNameBytes {
			return Evacuations{}, &BoundsError{"FailureDomains"}
		}
	}
	return NewEvacuations(w.Revision, w.FailureDomains), nil
}

// handlePeerEvacuations handles a wireEvacuations from a peer.
func (s *Service) handlePeerEvacuations(from string, b []byte) {
	e, err := decodeEvacuations(b)
	if err != nil {
		s.cfg.Log.Warn().Str("Peer", from).Int("Bytes", len(b)).Err(err).Msg("EvacuationsMalformed")
		return
	}
	source := from
	if m, ok := s.peers.Find(from); ok {
		source = m.Name
	}
	s.learnEvacuations(source, e)
}
