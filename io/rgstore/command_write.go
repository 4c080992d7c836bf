package rgstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
)

// Put writes a key by compare-and-swap.
func (cli Client) Put(ctx context.Context, key string, wri Write) WriteResult {
	status, raw, err := cli.Do(ctx, callTimeout, http.MethodPut, "/v1/keys/"+url.PathEscape(key), wri)
	if err != nil {
		return OutcomeUnknown{Err: errors.Annotatef(err, "put %s", key)}
	}
	var itm Item
	if err := json.Unmarshal(raw, &itm); err != nil {
		return OutcomeUnknown{Err: errors.Annotatef(err, "put %s: decode reply", key)}
	}
	switch status {
	case http.StatusOK:
		return Written{Version: itm.Version}
	case http.StatusConflict:
		return Conflicted{Current: itm}
	default:
		return OutcomeUnknown{Err: errors.Errorf("put %s: status %d", key, status)}
	}
}

// Grant creates a lease.
func (cli Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var lea Lease
	err := cli.call(ctx, http.MethodPost, "/v1/leases", Lease{TTL: rgmodel.Duration{Duration: ttl}}, &lea)
	return lea, errors.Annotate(err, "grant lease")
}

// Renew extends a lease by its time to live. It fails with errors.NotFound if the lease has expired.
func (cli Client) Renew(ctx context.Context, id string) error {
	return errors.Annotate(cli.call(ctx, http.MethodPut, "/v1/leases/"+url.PathEscape(id), nil, nil), "renew lease")
}

// Revoke ends a lease and deletes the keys that are attached to it.
func (cli Client) Revoke(ctx context.Context, id string) error {
	return errors.Annotate(cli.call(ctx, http.MethodDelete, "/v1/leases/"+url.PathEscape(id), nil, nil), "revoke lease")
}
