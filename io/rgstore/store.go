// Package rgstore is an HTTP client of a key-value store with the /v1/keys API.
package rgstore

import (
	"encoding/json"
	"net/http"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// maxReplyBytes is the size limit of a reply. It fits the values of all teams, the largest of which has a megabyte.
	maxReplyBytes = 16 << 20
	// callTimeout is the time limit of a call. A watch may take its wait time in addition.
	callTimeout = 2 * time.Second
)

type (
	// Item is a key with its value. Version is zero if the key does not exist. StoreVersion is that of the store when the item was
	// read by itself, or zero if the store does not tell.
	Item struct {
		Key     string          `json:"key"`
		Value   json.RawMessage `json:"value,omitempty"`
		Version uint64          `json:"version"`
		Deleted bool            `json:"deleted,omitempty"`

		StoreVersion uint64 `json:"-"`
	}

	// MalformedItem is an item that cannot be decoded. Key and Version are empty if they cannot be read either.
	MalformedItem struct {
		Key     string
		Version uint64
		Err     error
	}

	// Listing is a set of items and the version of the store at which it was read. Malformed items are not among the others.
	// Incomplete is set if the store has more items than were read.
	Listing struct {
		Items   []Item `json:"items"`
		Version uint64 `json:"version"`

		Malformed  []MalformedItem `json:"-"`
		Incomplete bool            `json:"-"`
	}

	// Write is a compare-and-swap: it takes effect if the key's version is Expected.
	Write struct {
		Value    json.RawMessage `json:"value"`
		Expected uint64          `json:"expected"`
		Lease    string          `json:"lease,omitempty"`
	}

	// Lease expires unless it is renewed. The keys that are attached to it are deleted with it.
	Lease struct {
		ID  string           `json:"lease"`
		TTL rgmodel.Duration `json:"ttl"`
	}

	// WriteResult is the outcome of a write.
	WriteResult interface{ isWriteResult() }

	// Written means that the write took effect. Version is the new version of the key.
	Written struct{ Version uint64 }

	// Conflicted means that the write did not take effect, because the key had another version.
	Conflicted struct{ Current Item }

	// OutcomeUnknown means that the write may have taken effect.
	OutcomeUnknown struct{ Err error }

	// Client calls the store. A nil HTTP means http.DefaultClient.
	Client struct {
		BaseURL string
		HTTP    *http.Client
	}
)

func (Written) isWriteResult()        {}
func (Conflicted) isWriteResult()     {}
func (OutcomeUnknown) isWriteResult() {}
