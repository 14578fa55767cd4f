package worker

// message is one message between an entry host and an owner. Exactly one field
// is set.
type message struct {
	Heartbeat *heartbeat `cbor:"1,keyasint,omitempty"`
	Ack       uint64     `cbor:"2,keyasint,omitempty"`
	Submit    *Job       `cbor:"3,keyasint,omitempty"`
	Cancel    string     `cbor:"4,keyasint,omitempty"`
	Result    *Result    `cbor:"5,keyasint,omitempty"`
}

// heartbeat is the heartbeat of a host to an entry host that has a session with it.
// The entry host echoes the number at once.
type heartbeat struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// IsOwner and Leaving say whether the host owns its failure domain and whether
	// it is about to stop.
	IsOwner bool `cbor:"Owner"`
	Leaving bool
	// KnownOwner is the incarnation that the host takes for the owner, if not itself.
	KnownOwner string `cbor:"Hint"`
	// RetainedServers names the servers that a leaving owner still uses.
	RetainedServers []string `cbor:"Keeping"`
	Load            Load
}
