// Package message defines the messages between boragehub's own processes and
// their codec.
//
// # Frames
//
// A frame is a four-byte length of the body, one byte for the protocol version,
// one byte for the type and a CBOR body. A body larger than MaxFrame, an
// incomplete body, one that can't be decoded and an unknown type give
// failure.BadMessage. Another protocol version gives failure.ProtocolMismatch,
// so that incompatible releases report it and don't misread each other's
// messages.
//
// # Exchanges
//
// Every exchange has its own stream. The process that opens it sends one request
// and reads responses up to the final one:
//
//	Run             → Imported Token… Done, or Refused, after CrashReport if the target crashed
//	Call            → Reply            or Refused
//	Locate          → Located          or Refused
//	HoldingUpdate   → Ack              or Refused
//	StateRequest    → State            or Refused
//	SettingsRequest → Settings         or Refused
//	Settings        → Ack              or Refused
//	CrashReport     → Ack              or Refused
//	Order           → Ack              or Refused
//	DocumentRequest → Document         or Refused
//
// Either end may send a Heartbeat at any time.
package message

import (
	"boragehub/engine"
	"boragehub/failure"
	"boragehub/prompt"
	"boragehub/quarantine"
)

// Version is the protocol version of this program.
const Version = 1

// Type is the number of a message on the wire. Numbers are never reused.
type Type uint8

// The message types.
const (
	TypeHeartbeat Type = iota + 1
	TypeRun
	TypeToken
	TypeDone
	TypeRefused
	TypeCall
	TypeReply
	TypeLocate
	TypeLocated
	TypeHoldingUpdate
	TypeAck
	TypeStateRequest
	TypeState
	TypeSettingsRequest
	TypeSettings
	TypeCrashReport
	TypeOrder
	TypeDocumentRequest
	TypeDocument
	TypeImported
)

// Message is implemented by the messages of this package.
type Message interface {
	// Type returns the message's number on the wire.
	Type() Type
}

// Heartbeat shows that the sender is alive.
type Heartbeat struct{}

// Run asks a side process to run a prompt on its engine.
type Run struct {
	// RequestID identifies the request in the logs of all processes.
	RequestID string `cbor:"1,keyasint"`
	// Organisation is the caller's organisation.
	Organisation string `cbor:"2,keyasint"`
	// Fingerprint identifies the organisation and the content, for quarantine.
	Fingerprint quarantine.Fingerprint `cbor:"3,keyasint"`
	// Model, Version, Adapter and Salt are the scope of the prompt's blocks:
	// KV cache blocks of another scope can't be used.
	Model   string `cbor:"4,keyasint"`
	Version string `cbor:"5,keyasint"`
	Adapter string `cbor:"6,keyasint,omitempty"`
	Salt    string `cbor:"7,keyasint"`
	// Prompt is the rendered prompt.
	Prompt string `cbor:"8,keyasint"`
	// ResumeText is the part of the completion that the caller already received.
	ResumeText string `cbor:"9,keyasint,omitempty"`
	// ResumeTokens is the number of tokens in ResumeText.
	ResumeTokens int `cbor:"10,keyasint,omitempty"`
	// MaxTokens bounds the length of the completion.
	MaxTokens int `cbor:"11,keyasint"`
	// Priority orders the requests on the engine; lower numbers run first.
	Priority int `cbor:"12,keyasint"`
	// TimeoutMS is the time left for the run, in milliseconds.
	TimeoutMS int64 `cbor:"13,keyasint"`
	// Anchor is the key of the context in the directory.
	Anchor prompt.Hash `cbor:"14,keyasint"`
	// Copies are the sealed copies of the context that may be imported, best
	// first.
	Copies []Holding `cbor:"15,keyasint,omitempty"`
	// ParkMinTokens is the minimum length of a context to export to a store, in
	// tokens; zero disables the export.
	ParkMinTokens int `cbor:"16,keyasint,omitempty"`
	// UsualGapMS is the usual time until the context returns, in milliseconds.
	UsualGapMS int64 `cbor:"17,keyasint,omitempty"`
	// Suspect says that the request ran on a target that crashed, so that it must
	// not run at the same time as another suspect request.
	Suspect bool `cbor:"18,keyasint,omitempty"`
	// Sampling holds the caller's sampling parameters, which only the engine uses.
	Sampling engine.Sampling `cbor:"19,keyasint,omitempty"`
	// Workload is the caller's workload. The gaps after which contexts are used
	// again are measured per workload.
	Workload string `cbor:"20,keyasint,omitempty"`
	// FirstTokenWeight and RecomputedWeight are the settings that decide when an
	// import that is slower than expected is cancelled.
	FirstTokenWeight float64 `cbor:"21,keyasint,omitempty"`
	RecomputedWeight float64 `cbor:"22,keyasint,omitempty"`
}

// Token is one token of a completion.
type Token struct {
	// Index is the position of the token in the completion, from zero; it
	// includes the tokens before a resume.
	Index int `cbor:"1,keyasint"`
	// Text is the token's text.
	Text string `cbor:"2,keyasint"`
}

// Done ends a complete response to Run.
type Done struct {
	// Tokens is the number of tokens of the whole completion.
	Tokens int `cbor:"1,keyasint"`
	// FinishReason is the OpenAI finish reason.
	FinishReason string `cbor:"2,keyasint"`
	// PromptTokens is the prompt's length in tokens.
	PromptTokens int `cbor:"3,keyasint"`
	// CachedTokens is how many of them were in the KV cache and not computed.
	CachedTokens int `cbor:"4,keyasint"`
	// ImportedTokens is how many were imported from a store for this run.
	ImportedTokens int `cbor:"5,keyasint"`
	// Load is the target's load at the end of the run.
	Load Load `cbor:"6,keyasint"`
}

// Imported reports that the import before a run has ended, so that the link is
// free for other transfers.
type Imported struct {
	// Bytes is the number of bytes imported; zero when no copy could be used.
	Bytes int64 `cbor:"1,keyasint"`
}

// Refused ends an exchange without a result.
type Refused struct {
	// Kind is the kind of failure.
	Kind failure.Kind `cbor:"1,keyasint"`
	// Text is the error message for the caller.
	Text string `cbor:"2,keyasint"`
	// RetryAfterMS is the time after which to retry, in milliseconds; zero when
	// unknown.
	RetryAfterMS int64 `cbor:"3,keyasint,omitempty"`
}

// Call asks a side process to call its plain service.
type Call struct {
	// RequestID identifies the request in the logs of all processes.
	RequestID string `cbor:"1,keyasint"`
	// Organisation is the caller's organisation.
	Organisation string `cbor:"2,keyasint"`
	// Fingerprint identifies the organisation and the content, for quarantine.
	Fingerprint quarantine.Fingerprint `cbor:"3,keyasint"`
	// Service is the plain service's name.
	Service string `cbor:"4,keyasint"`
	// Method, Path, ContentType and Body are those of the HTTP request.
	Method      string `cbor:"5,keyasint"`
	Path        string `cbor:"6,keyasint"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	Body        []byte `cbor:"8,keyasint,omitempty"`
	// Key is the value of the Idempotency-Key header.
	Key string `cbor:"9,keyasint,omitempty"`
	// AtMostOnce says that the call may run at most once, so that it needs a claim.
	AtMostOnce bool `cbor:"10,keyasint,omitempty"`
	// TimeoutMS is the time left for the call, in milliseconds.
	TimeoutMS int64 `cbor:"11,keyasint"`
}

// Reply is a plain service's response to Call.
type Reply struct {
	// Status, ContentType and Body are those of the HTTP response.
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Replayed says that this is the recorded response of an earlier call and that
	// the service was not called again.
	Replayed bool `cbor:"4,keyasint,omitempty"`
	// Load is the target's load.
	Load Load `cbor:"5,keyasint"`
}

// Load is a target's load according to its side process.
type Load struct {
	// Running and Waiting are the numbers of requests that run and that wait.
	Running int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint"`
	// WaitingTokens is the number of prefill tokens of the waiting requests.
	WaitingTokens int `cbor:"3,keyasint"`
	// AgeMS is the age of the target's load report, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint"`
}

// Holding describes the leading blocks of a context that an engine or a store
// has.
type Holding struct {
	// Holder is the VM of the engine or store.
	Holder string `cbor:"1,keyasint"`
	// Store says that Holder is a store, from which Copy can be imported.
	Store bool `cbor:"2,keyasint,omitempty"`
	// DataCentre is the data centre of Holder.
	DataCentre string `cbor:"3,keyasint"`
	// Blocks is the number of leading blocks held; in Located the number of those
	// that are also in the chain of the Locate.
	Blocks int `cbor:"4,keyasint"`
	// Version is the weight version of the blocks.
	Version string `cbor:"5,keyasint"`
	// Copy is the ID of the sealed copy in the store; see store.CopyID.
	Copy string `cbor:"6,keyasint,omitempty"`
	// Bytes is the size of the copy.
	Bytes int64 `cbor:"7,keyasint,omitempty"`
	// Address is the network address of the store.
	Address string `cbor:"8,keyasint,omitempty"`
	// AgeMS is the time since the blocks were last reported, in milliseconds.
	AgeMS int64 `cbor:"9,keyasint,omitempty"`
}

// Locate asks the owner of an anchor which engines and stores have leading
// blocks of a context.
type Locate struct {
	// Anchor is the hash of the context up to the end of its first user message;
	// see directory.Anchor.
	Anchor prompt.Hash `cbor:"1,keyasint"`
	// Chain is the chain of block hashes of the prompt.
	Chain prompt.Chain `cbor:"2,keyasint"`
}

// Located is the response to Locate.
type Located struct {
	// Holdings are those that share leading blocks with the chain, the most blocks
	// first.
	Holdings []Holding `cbor:"1,keyasint"`
}

// HoldingUpdate reports to the owner of an anchor that a holding was added or
// removed.
type HoldingUpdate struct {
	// Anchor is the hash of the context up to the end of its first user message;
	// see directory.Anchor.
	Anchor prompt.Hash `cbor:"1,keyasint"`
	// Chain is the chain of the blocks held; empty when Removed is set.
	Chain prompt.Chain `cbor:"2,keyasint,omitempty"`
	// Holding is the holding that was added or removed.
	Holding Holding `cbor:"3,keyasint"`
	// Removed says that the holding was removed.
	Removed bool `cbor:"4,keyasint,omitempty"`
}

// Ack acknowledges a message that needs no other response.
type Ack struct{}

// StateRequest requests the state of a side process.
type StateRequest struct {
	// SettingsVersion is the version of the settings in force at the sender.
	SettingsVersion uint64 `cbor:"1,keyasint"`
}

// State is the state of a target, reported directly by its side process.
type State struct {
	// VM is the name of the side process's VM.
	VM string `cbor:"1,keyasint"`
	// Boot identifies the incarnation: it is new each time the target or its side
	// process starts.
	Boot string `cbor:"2,keyasint"`
	// Service is the name of the service that the target serves.
	Service string `cbor:"3,keyasint"`
	// Model, Version and BlockTokens describe an engine; empty for a plain service.
	Model       string `cbor:"4,keyasint,omitempty"`
	Version     string `cbor:"5,keyasint,omitempty"`
	BlockTokens int    `cbor:"6,keyasint,omitempty"`
	// Ready says that the target accepts new requests.
	Ready bool `cbor:"7,keyasint"`
	// Draining says that the target is draining before it stops.
	Draining bool `cbor:"8,keyasint"`
	// Load is the target's load.
	Load Load `cbor:"9,keyasint"`
	// SettingsVersion is the version of the settings in force at the side process.
	SettingsVersion uint64 `cbor:"10,keyasint"`
	// PrefillRate and DecodeRate are in tokens per second.
	PrefillRate float64 `cbor:"11,keyasint,omitempty"`
	DecodeRate  float64 `cbor:"12,keyasint,omitempty"`
	// MaxRunning is the maximum number of requests that the target runs at once.
	MaxRunning int `cbor:"13,keyasint,omitempty"`
	// BytesPerToken is the size of a context's copy per token, in bytes.
	BytesPerToken int `cbor:"14,keyasint,omitempty"`
	// OwnedShards are the claim shards that this side process owns.
	OwnedShards []int `cbor:"15,keyasint,omitempty"`
	// Sequence increases with each State of the same Boot.
	Sequence uint64 `cbor:"16,keyasint"`
	// Loading says that the engine is loading weights.
	Loading bool `cbor:"17,keyasint,omitempty"`
	// StateAgeMS is the time since Loading last changed, in milliseconds.
	StateAgeMS int64 `cbor:"18,keyasint,omitempty"`
	// Role is the engine's role, Adapters are the adapters that it has loaded.
	Role     string   `cbor:"19,keyasint,omitempty"`
	Adapters []string `cbor:"20,keyasint,omitempty"`
	// FailedVersion is the weight version of the last load that failed,
	// FailedAgeMS the time since it failed, in milliseconds.
	FailedVersion string `cbor:"21,keyasint,omitempty"`
	FailedAgeMS   int64  `cbor:"22,keyasint,omitempty"`
	// Fence is the highest fencing number seen, Accepted the Order.Number of the
	// last order accepted with it.
	Fence    uint64 `cbor:"23,keyasint,omitempty"`
	Accepted uint64 `cbor:"24,keyasint,omitempty"`
	// UpMS is the time since the start of this incarnation, in milliseconds.
	UpMS int64 `cbor:"25,keyasint,omitempty"`
	// TargetGone says that nothing listens at the target's address. The side
	// process has then already reported the requests that ran when it crashed.
	TargetGone bool `cbor:"26,keyasint,omitempty"`
}

// SettingsRequest requests the published settings after a version from a peer.
type SettingsRequest struct {
	// After is the version at the sender; zero requests all settings.
	After uint64 `cbor:"1,keyasint"`
}

// Settings is the response to SettingsRequest. Sent as a request, it offers the
// published settings to a peer.
type Settings struct {
	// Version is the version at the sender; zero when it has none.
	Version uint64 `cbor:"1,keyasint"`
	// Body is an encoded publication.Update: the changes after the version of
	// the receiver, none if it has the newest.
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// CrashReport reports the requests that ran when a target crashed.
type CrashReport struct {
	// Crash is the report.
	Crash quarantine.Crash `cbor:"1,keyasint"`
}

// Order is an order of the placement leader to an engine. The side process
// checks its fencing number.
type Order struct {
	// Fence is the fencing number of the leader's lease, Number the number of the
	// order among those with the same Fence.
	Fence  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Kind is the kind of order, as defined by package weights.
	Kind string `cbor:"3,keyasint"`
	// Version, Adapter and Role are the weights or adapter to load, or the role to
	// set.
	Version string `cbor:"4,keyasint,omitempty"`
	Adapter string `cbor:"5,keyasint,omitempty"`
	Role    string `cbor:"6,keyasint,omitempty"`
}

// DocumentRequest requests a document on the state of a process, for operators.
type DocumentRequest struct {
	// Name is the document's name.
	Name string `cbor:"1,keyasint"`
	// Query selects a part of it, such as a request ID for "explain".
	Query string `cbor:"2,keyasint,omitempty"`
}

// Document is the response to DocumentRequest.
type Document struct {
	// JSON is the document, encoded as JSON.
	JSON []byte `cbor:"1,keyasint"`
}

// Type returns the number of each message on the wire.
func (Heartbeat) Type() Type       { return TypeHeartbeat }
func (Run) Type() Type             { return TypeRun }             //nolint:revive // documented on Message
func (Token) Type() Type           { return TypeToken }           //nolint:revive // documented on Message
func (Done) Type() Type            { return TypeDone }            //nolint:revive // documented on Message
func (Refused) Type() Type         { return TypeRefused }         //nolint:revive // documented on Message
func (Call) Type() Type            { return TypeCall }            //nolint:revive // documented on Message
func (Reply) Type() Type           { return TypeReply }           //nolint:revive // documented on Message
func (Locate) Type() Type          { return TypeLocate }          //nolint:revive // documented on Message
func (Located) Type() Type         { return TypeLocated }         //nolint:revive // documented on Message
func (HoldingUpdate) Type() Type   { return TypeHoldingUpdate }   //nolint:revive // documented on Message
func (Ack) Type() Type             { return TypeAck }             //nolint:revive // documented on Message
func (StateRequest) Type() Type    { return TypeStateRequest }    //nolint:revive // documented on Message
func (State) Type() Type           { return TypeState }           //nolint:revive // documented on Message
func (SettingsRequest) Type() Type { return TypeSettingsRequest } //nolint:revive // documented on Message
func (Settings) Type() Type        { return TypeSettings }        //nolint:revive // documented on Message
func (CrashReport) Type() Type     { return TypeCrashReport }     //nolint:revive // documented on Message
func (Order) Type() Type           { return TypeOrder }           //nolint:revive // documented on Message
func (DocumentRequest) Type() Type { return TypeDocumentRequest } //nolint:revive // documented on Message
func (Document) Type() Type        { return TypeDocument }        //nolint:revive // documented on Message
func (Imported) Type() Type        { return TypeImported }        //nolint:revive // documented on Message

// NewRefused returns the message that reports err to a peer.
func NewRefused(err error) Refused {
	e := failure.As(err)

	return Refused{Kind: e.Kind(), Text: e.Message(), RetryAfterMS: e.RetryAfter().Milliseconds()}
}
