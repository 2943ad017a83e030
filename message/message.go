// Package message holds the typed messages between boragehub's own processes
// and their codec.
//
// # Frames
//
// A frame is a four-byte length, one byte for the protocol version, one byte
// for the type and a CBOR body. A frame over the reader's limit, a body that
// does not decode and an unknown type are failure.BadMessage; another protocol
// version is failure.ProtocolMismatch, so that two releases that can't talk say
// so instead of guessing.
//
// # Conversations
//
// Every conversation has a stream of its own. The opener sends one request and
// reads answers until a final one:
//
//	Run     → Imported Token… Done, or Refused, before it Crashed when the target died
//	Call    → Reply            or Refused
//	Locate  → Located          or Refused
//	Learn   → Ack              or Refused
//	Ask     → State            or Refused
//	Fetch   → Settings         or Refused
//	Crashed → Ack              or Refused
//	Order   → Ack              or Refused
//	View    → Viewed           or Refused
//
// Beat may come at any time from either end; it says that the sender lives.
package message

import (
	"boragehub/engine"
	"boragehub/failure"
	"boragehub/prompt"
	"boragehub/quarantine"
)

// Version is the protocol version that this program speaks.
const Version = 1

// Type numbers the messages on the wire. Numbers are never used twice.
type Type uint8

// The types.
const (
	TypeBeat Type = iota + 1
	TypeRun
	TypeToken
	TypeDone
	TypeRefused
	TypeCall
	TypeReply
	TypeLocate
	TypeLocated
	TypeLearn
	TypeAck
	TypeAsk
	TypeState
	TypeFetch
	TypeSettings
	TypeCrashed
	TypeOrder
	TypeView
	TypeViewed
	TypeImported
)

// Message is one of the messages of this package.
type Message interface {
	// Type returns the message's number on the wire.
	Type() Type
}

// Beat says that its sender lives.
type Beat struct{}

// Run asks a side process to run a prompt on its engine.
type Run struct {
	// RequestID names the request in every process's logs.
	RequestID string `cbor:"1,keyasint"`
	// Organisation is the caller's organisation.
	Organisation string `cbor:"2,keyasint"`
	// Fingerprint identifies organisation and content, for quarantine.
	Fingerprint quarantine.Fingerprint `cbor:"3,keyasint"`
	// Model, Version, Adapter and Salt are the scope of the prompt's blocks.
	Model   string `cbor:"4,keyasint"`
	Version string `cbor:"5,keyasint"`
	Adapter string `cbor:"6,keyasint,omitempty"`
	Salt    string `cbor:"7,keyasint"`
	// Prompt is the rendered text.
	Prompt string `cbor:"8,keyasint"`
	// Resume is the part of the answer that the caller already has.
	Resume string `cbor:"9,keyasint,omitempty"`
	// ResumeTokens is how many tokens Resume holds.
	ResumeTokens int `cbor:"10,keyasint,omitempty"`
	// MaxTokens bounds the answer.
	MaxTokens int `cbor:"11,keyasint"`
	// Priority orders runs on the engine; lower is sooner.
	Priority int `cbor:"12,keyasint"`
	// TimeoutMS is how many milliseconds the run may still take.
	TimeoutMS int64 `cbor:"13,keyasint"`
	// Anchor finds the context in the directory.
	Anchor prompt.Hash `cbor:"14,keyasint"`
	// Copies are the sealed copies that may be imported, best first.
	Copies []Holding `cbor:"15,keyasint,omitempty"`
	// ParkMinTokens is the shortest context to export; zero exports none.
	ParkMinTokens int `cbor:"16,keyasint,omitempty"`
	// UsualGapMS is the usual time until the context returns, in milliseconds.
	UsualGapMS int64 `cbor:"17,keyasint,omitempty"`
	// Suspect says that the request ran on a target that died: it must not run
	// beside another suspect.
	Suspect bool `cbor:"18,keyasint,omitempty"`
	// Sampling holds the caller's wishes that only the engine reads.
	Sampling engine.Sampling `cbor:"19,keyasint,omitempty"`
	// Workload is the caller's workload, by which gaps between visits are learned.
	Workload string `cbor:"20,keyasint,omitempty"`
	// FirstTokenWeight and RecomputedWeight are the settings by which an import
	// that comes slower than expected is given up.
	FirstTokenWeight float64 `cbor:"21,keyasint,omitempty"`
	RecomputedWeight float64 `cbor:"22,keyasint,omitempty"`
}

// Token is a piece of an answer.
type Token struct {
	// Index counts the answer's tokens from zero, over resumes too.
	Index int `cbor:"1,keyasint"`
	// Text is the token's text.
	Text string `cbor:"2,keyasint"`
}

// Done ends a whole answer.
type Done struct {
	// Tokens is how many tokens the whole answer has.
	Tokens int `cbor:"1,keyasint"`
	// Finish is the OpenAI finish reason.
	Finish string `cbor:"2,keyasint"`
	// PromptTokens is the prompt's length in tokens.
	PromptTokens int `cbor:"3,keyasint"`
	// CachedTokens is how many of them were not computed.
	CachedTokens int `cbor:"4,keyasint"`
	// ImportedTokens is how many were brought from a store for this run.
	ImportedTokens int `cbor:"5,keyasint"`
	// Load is the target's load at the end.
	Load Load `cbor:"6,keyasint"`
}

// Imported says that the import before a run has ended, so that the link is free.
type Imported struct {
	// Bytes is how much was brought; zero when no copy could be used.
	Bytes int64 `cbor:"1,keyasint"`
}

// Refused ends a conversation without a result.
type Refused struct {
	// Kind is the kind of failure.
	Kind failure.Kind `cbor:"1,keyasint"`
	// Text is for the caller.
	Text string `cbor:"2,keyasint"`
	// RetryAfterMS is when to come again, zero when not known.
	RetryAfterMS int64 `cbor:"3,keyasint,omitempty"`
}

// Call asks a side process to call its plain service.
type Call struct {
	// RequestID names the request in every process's logs.
	RequestID string `cbor:"1,keyasint"`
	// Organisation is the caller's organisation.
	Organisation string `cbor:"2,keyasint"`
	// Fingerprint identifies organisation and content.
	Fingerprint quarantine.Fingerprint `cbor:"3,keyasint"`
	// Service is the plain service's name.
	Service string `cbor:"4,keyasint"`
	// Method, Path, ContentType and Body are the HTTP call.
	Method      string `cbor:"5,keyasint"`
	Path        string `cbor:"6,keyasint"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	Body        []byte `cbor:"8,keyasint,omitempty"`
	// Key is the Idempotency-Key.
	Key string `cbor:"9,keyasint,omitempty"`
	// Once says that the call may run at most once, so that a claim is needed.
	Once bool `cbor:"10,keyasint,omitempty"`
	// TimeoutMS is how many milliseconds the call may still take.
	TimeoutMS int64 `cbor:"11,keyasint"`
}

// Reply is a plain service's answer.
type Reply struct {
	// Status, ContentType and Body are the HTTP answer.
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Replayed says that the answer was recorded earlier and nothing ran now.
	Replayed bool `cbor:"4,keyasint,omitempty"`
	// Load is the target's load.
	Load Load `cbor:"5,keyasint"`
}

// Load is a target's load as its side process knows it.
type Load struct {
	// Running and Waiting count requests.
	Running int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint"`
	// WaitingTokens is the prefill that waits, in tokens.
	WaitingTokens int `cbor:"3,keyasint"`
	// AgeMS is how old the report is, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint"`
}

// Holding says that an engine or a store has the leading blocks of a context.
type Holding struct {
	// Holder is the VM of the engine or store.
	Holder string `cbor:"1,keyasint"`
	// Store says that Holder is a store VM and Copy can be imported.
	Store bool `cbor:"2,keyasint,omitempty"`
	// DataCentre is where Holder is.
	DataCentre string `cbor:"3,keyasint"`
	// Blocks is how many leading blocks are held; in Located how many of them
	// the chain asked for shares.
	Blocks int `cbor:"4,keyasint"`
	// Version is the weight version of the blocks.
	Version string `cbor:"5,keyasint"`
	// Copy is the sealed copy's id in the store; see store.CopyID.
	Copy string `cbor:"6,keyasint,omitempty"`
	// Bytes is the copy's size.
	Bytes int64 `cbor:"7,keyasint,omitempty"`
	// Address is where the store answers.
	Address string `cbor:"8,keyasint,omitempty"`
	// AgeMS is how long ago this was known to be so, in milliseconds.
	AgeMS int64 `cbor:"9,keyasint,omitempty"`
}

// Locate asks an owner who holds leading blocks of a context.
type Locate struct {
	// Anchor is the hash of the context's opening.
	Anchor prompt.Hash `cbor:"1,keyasint"`
	// Chain is the prompt's chain.
	Chain prompt.Chain `cbor:"2,keyasint"`
}

// Located answers Locate.
type Located struct {
	// Holdings are those that share leading blocks with the chain, deepest first.
	Holdings []Holding `cbor:"1,keyasint"`
}

// Learn tells an owner of a holding, or that one is gone.
type Learn struct {
	// Anchor is the hash of the context's opening.
	Anchor prompt.Hash `cbor:"1,keyasint"`
	// Chain is the chain of what is held; empty when it is gone.
	Chain prompt.Chain `cbor:"2,keyasint,omitempty"`
	// Holding is what is held.
	Holding Holding `cbor:"3,keyasint"`
	// Gone says that it is held no longer.
	Gone bool `cbor:"4,keyasint,omitempty"`
}

// Ack says that a message was taken in.
type Ack struct{}

// Ask asks a side process for its state.
type Ask struct {
	// SettingsVersion is the asker's version of the settings.
	SettingsVersion uint64 `cbor:"1,keyasint"`
}

// State is a side process's state, at first hand.
type State struct {
	// VM is the side process's VM.
	VM string `cbor:"1,keyasint"`
	// Boot is new each time the target or its side process starts.
	Boot string `cbor:"2,keyasint"`
	// Service is what the target serves.
	Service string `cbor:"3,keyasint"`
	// Model, Version and BlockTokens describe an engine; empty for a plain service.
	Model       string `cbor:"4,keyasint,omitempty"`
	Version     string `cbor:"5,keyasint,omitempty"`
	BlockTokens int    `cbor:"6,keyasint,omitempty"`
	// Ready says that new work is taken.
	Ready bool `cbor:"7,keyasint"`
	// Draining says that the target leaves.
	Draining bool `cbor:"8,keyasint"`
	// Load is the target's load.
	Load Load `cbor:"9,keyasint"`
	// SettingsVersion is the version of the settings that is in force there.
	SettingsVersion uint64 `cbor:"10,keyasint"`
	// PrefillRate and DecodeRate are in tokens a second.
	PrefillRate float64 `cbor:"11,keyasint,omitempty"`
	DecodeRate  float64 `cbor:"12,keyasint,omitempty"`
	// MaxRunning is how many requests the target runs at once.
	MaxRunning int `cbor:"13,keyasint,omitempty"`
	// BytesPerToken is the size of a context's copy.
	BytesPerToken int `cbor:"14,keyasint,omitempty"`
	// Homes are the claim shards whose home this side process is.
	Homes []int `cbor:"15,keyasint,omitempty"`
	// Sequence rises with each State of one boot.
	Sequence uint64 `cbor:"16,keyasint"`
	// Loading says that the engine loads weights.
	Loading bool `cbor:"17,keyasint,omitempty"`
	// StateAgeMS is for how long the engine has been loading or not, in milliseconds.
	StateAgeMS int64 `cbor:"18,keyasint,omitempty"`
	// Role and Adapters are what the engine has.
	Role     string   `cbor:"19,keyasint,omitempty"`
	Adapters []string `cbor:"20,keyasint,omitempty"`
	// FailedVersion is the weight version whose load failed last, FailedAgeMS
	// how long ago, in milliseconds.
	FailedVersion string `cbor:"21,keyasint,omitempty"`
	FailedAgeMS   int64  `cbor:"22,keyasint,omitempty"`
	// Fence is the highest fencing number seen, Accepted the number of the last
	// order accepted under it.
	Fence    uint64 `cbor:"23,keyasint,omitempty"`
	Accepted uint64 `cbor:"24,keyasint,omitempty"`
	// UpMS is for how long this boot has lasted, in milliseconds.
	UpMS int64 `cbor:"25,keyasint,omitempty"`
	// Gone says that nothing listens at the target's address; what crashed it has been told.
	Gone bool `cbor:"26,keyasint,omitempty"`
}

// Fetch asks a peer for the settings after a version.
type Fetch struct {
	// After is the asker's version; zero asks for all.
	After uint64 `cbor:"1,keyasint"`
}

// Settings hands on published settings.
type Settings struct {
	// Version is the version in force at the sender; zero when it has none.
	Version uint64 `cbor:"1,keyasint"`
	// Body is the publication; empty when the asker has the newest.
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// Crashed reports the requests that ran when a target died.
type Crashed struct {
	// Crash is the report.
	Crash quarantine.Crash `cbor:"1,keyasint"`
}

// Order is an order to the engine, checked by its side process.
type Order struct {
	// Fence is the fencing number of the leader's lease, Number counts its orders.
	Fence  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Kind is one of the kinds of package weights.
	Kind string `cbor:"3,keyasint"`
	// Version, Adapter and Role are what to load or to be.
	Version string `cbor:"4,keyasint,omitempty"`
	Adapter string `cbor:"5,keyasint,omitempty"`
	Role    string `cbor:"6,keyasint,omitempty"`
}

// View asks a process for a document that operators may see.
type View struct {
	// Name is the document's name.
	Name string `cbor:"1,keyasint"`
	// Query narrows it, as a request's id does for "explain".
	Query string `cbor:"2,keyasint,omitempty"`
}

// Viewed answers View.
type Viewed struct {
	// JSON is the document.
	JSON []byte `cbor:"1,keyasint"`
}

// Type returns the number of each message on the wire.
func (Beat) Type() Type     { return TypeBeat }
func (Run) Type() Type      { return TypeRun }      //nolint:revive // documented on Message
func (Token) Type() Type    { return TypeToken }    //nolint:revive // documented on Message
func (Done) Type() Type     { return TypeDone }     //nolint:revive // documented on Message
func (Refused) Type() Type  { return TypeRefused }  //nolint:revive // documented on Message
func (Call) Type() Type     { return TypeCall }     //nolint:revive // documented on Message
func (Reply) Type() Type    { return TypeReply }    //nolint:revive // documented on Message
func (Locate) Type() Type   { return TypeLocate }   //nolint:revive // documented on Message
func (Located) Type() Type  { return TypeLocated }  //nolint:revive // documented on Message
func (Learn) Type() Type    { return TypeLearn }    //nolint:revive // documented on Message
func (Ack) Type() Type      { return TypeAck }      //nolint:revive // documented on Message
func (Ask) Type() Type      { return TypeAsk }      //nolint:revive // documented on Message
func (State) Type() Type    { return TypeState }    //nolint:revive // documented on Message
func (Fetch) Type() Type    { return TypeFetch }    //nolint:revive // documented on Message
func (Settings) Type() Type { return TypeSettings } //nolint:revive // documented on Message
func (Crashed) Type() Type  { return TypeCrashed }  //nolint:revive // documented on Message
func (Order) Type() Type    { return TypeOrder }    //nolint:revive // documented on Message
func (View) Type() Type     { return TypeView }     //nolint:revive // documented on Message
func (Viewed) Type() Type   { return TypeViewed }   //nolint:revive // documented on Message
func (Imported) Type() Type { return TypeImported } //nolint:revive // documented on Message

// Refusal turns err into the message that tells a peer of it.
func Refusal(err error) Refused {
	e := failure.As(err)

	return Refused{Kind: e.Kind(), Text: e.Message(), RetryAfterMS: e.RetryAfter().Milliseconds()}
}
