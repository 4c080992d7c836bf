package rgstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// Get reads one key. It fails with errors.NotFound if the key does not exist.
func (cli Client) Get(ctx context.Context, key string) (Item, error) {
	var itm Item
	err := cli.call(ctx, http.MethodGet, "/v1/keys/"+url.PathEscape(key), nil, &itm)
	return itm, errors.Annotatef(err, "get %s", key)
}

// List reads all keys with the prefix.
func (cli Client) List(ctx context.Context, prefix string) (Listing, error) {
	lis, err := cli.list(ctx, callTimeout, "/v1/keys?prefix="+url.QueryEscape(prefix))
	return lis, errors.Annotatef(err, "list %s", prefix)
}

// Watch waits until keys with the prefix have changed after the given version, for at most the given time, and returns the
// changed items. An empty listing means that nothing has changed.
func (cli Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	path := fmt.Sprintf("/v1/watch?prefix=%s&after=%d&wait=%s", url.QueryEscape(prefix), after, wait)
	lis, err := cli.list(ctx, wait+callTimeout, path)
	return lis, errors.Annotatef(err, "watch %s", prefix)
}

func (cli Client) list(ctx context.Context, timeout time.Duration, path string) (Listing, error) {
	raw, err := cli.read(ctx, timeout, http.MethodGet, path, nil)
	if err != nil {
		return Listing{}, err
	}
	return decodeListing(raw)
}

func (cli Client) call(ctx context.Context, method, path string, body, reply any) error {
	return cli.Call(ctx, callTimeout, method, path, body, reply)
}

// Call sends a request and decodes the response into reply unless that is nil. It fails with errors.NotFound on status
// 404.
func (cli Client) Call(ctx context.Context, timeout time.Duration, method, path string, body, reply any) error {
	raw, err := cli.read(ctx, timeout, method, path, body)
	if err != nil || reply == nil {
		return err
	}
	return errors.Annotate(json.Unmarshal(raw, reply), "decode reply")
}

// read sends a request and returns the body of a successful response.
func (cli Client) read(ctx context.Context, timeout time.Duration, method, path string, body any) ([]byte, error) {
	status, raw, err := cli.Do(ctx, timeout, method, path, body)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, errors.NotFoundf("%s", path)
	case status >= http.StatusMultipleChoices:
		return nil, errors.Errorf("status %d", status)
	default:
		return raw, nil
	}
}

// Do sends a request and returns the status and the body of the response.
func (cli Client) Do(ctx context.Context, timeout time.Duration, method, path string, body any) (int, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	var buf bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&buf).Encode(body); err != nil {
			return 0, nil, errors.Trace(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, cli.BaseURL+path, &buf)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	hcl := cli.HTTP
	if hcl == nil {
		hcl = http.DefaultClient
	}
	rsp, err := hcl.Do(req)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(rsp.Body, maxReplyBytes))
	return rsp.StatusCode, raw, errors.Trace(err)
}
