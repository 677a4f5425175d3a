// Package gateway defines the messages of the etcd v3 JSON gateway that the
// store client and the store's stand-in use. In JSON, keys and values are
// base64, 64-bit integers are strings, and fields with zero values are omitted.
package gateway

import (
	"bytes"
	"fmt"
	"strconv"
)

// The paths of the gateway.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathTxn         = "/v3/kv/txn"
	PathDeleteRange = "/v3/kv/deleterange"
	PathWatch       = "/v3/watch"
)

// Int64 is encoded as a JSON string and decoded from a string or a number. The
// protobuf JSON mapping allows both.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return fmt.Appendf(nil, "%q", strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	if err != nil {
		return fmt.Errorf("gateway: %s is not a 64-bit integer", b)
	}
	*i = Int64(n)
	return nil
}

// Header is part of every reply.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
}

// The sort orders of RangeRequest.
const (
	Ascend  = "ASCEND"
	Descend = "DESCEND"
)

// RangeRequest reads the keys from Key (inclusive) to RangeEnd (exclusive), or
// only Key if RangeEnd is empty.
type RangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end,omitempty"`
	Limit     Int64  `json:"limit,omitempty"`
	SortOrder string `json:"sort_order,omitempty"`
	KeysOnly  bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the reply to RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// PutResponse is the reply to PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes keys. Key and RangeEnd select them as in
// RangeRequest.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the reply to DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// The comparison results and the compared fields of Compare.
const (
	Equal        = "EQUAL"
	Greater      = "GREATER"
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
)

// Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Range *RangeRequest `json:"request_range,omitempty"`
	Put   *PutRequest   `json:"request_put,omitempty"`
}

// ResponseOp is the reply to RequestOp.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
	Put   *PutResponse   `json:"response_put,omitempty"`
}

// TxnRequest is a transaction. It runs Success if all conditions in Compare
// hold, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the reply to TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch. Key and RangeEnd select them as in
// RangeRequest.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// EventDelete is the type of an event that deletes a key. The type of an
// event that writes a key is PUT, which the gateway usually omits.
const EventDelete = "DELETE"

// Event is a write or deletion of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is a message of a watch stream.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// StreamError is the error that ends a watch stream.
type StreamError struct {
	Message string `json:"message"`
}

// WatchMessage is the envelope of each message of a watch stream.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// PrefixEnd returns the RangeEnd with which a range that starts at prefix
// covers all keys with this prefix.
func PrefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
