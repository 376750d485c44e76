package artefactapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/protocost"
)

// Client speaks to one instance, as a writer, a reader, an operator or another
// instance, whichever its token is for. It may be used by any number of
// goroutines.
type Client struct {
	base  string
	token func() (string, error)
	http  *http.Client
}

// NewClient returns a client of the instance at a URL; token is asked before
// each request.
func NewClient(base string, token func() (string, error), hc *http.Client) *Client {
	return &Client{strings.TrimSuffix(base, "/"), token, hc}
}

// RefusedError is an answer that says no.
type RefusedError struct {
	Status int
	Text   string
	err    error // what the code stands for, if there is one
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("artefact store: %s (%d)", e.Text, e.Status)
}

// Unwrap returns the error of package archive or artefact that the instance
// met, if it said.
func (e *RefusedError) Unwrap() error { return e.err }

// Lasting tells whether the same request would be refused again, whenever.
func (e *RefusedError) Lasting() bool { return e.Status >= 400 && e.Status < 500 }

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	u := c.base + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("artefact store: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("artefact store: %w", err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10)) // what there is of it
	p := Problem{}
	if json.Unmarshal(raw, &p) != nil || p.Error == "" {
		p.Error = http.StatusText(resp.StatusCode)
	}
	e := &RefusedError{Status: resp.StatusCode, Text: p.Error}
	for _, known := range codes {
		if known.code == p.Code {
			e.err = known.err
		}
	}
	return nil, e
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, most int64) ([]byte, error) {
	resp, err := c.do(ctx, method, path, query, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(raw)) > most {
		err = artefact.ErrTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("artefact store: answer: %w", err)
	}
	return raw, nil
}

// Write stores records of the attempt that the token is for, and returns how
// many instances have them. Its error is a *RefusedError when the store said no.
func (c *Client) Write(ctx context.Context, recs ...*artefactpb.Record) (copies int, err error) {
	body, err := proto.Marshal(&artefactpb.Batch{Records: recs})
	if err != nil {
		return 0, fmt.Errorf("artefact store: %w", err)
	}
	raw, err := c.call(ctx, http.MethodPost, "/v1/records", nil, body, 1<<20)
	if err != nil {
		return 0, err
	}
	var s Stored
	if err := json.Unmarshal(raw, &s); err != nil {
		return 0, fmt.Errorf("artefact store: answer: %w", err)
	}
	return s.Copies, nil
}

// Stream calls f with every JSON value of an answer, as they come.
func Stream[T any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte, f func(T) error) error {
	resp, err := c.do(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for {
		var v T
		switch err := dec.Decode(&v); {
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("artefact store: answer: %w", err)
		}
		if err := f(v); err != nil {
			return err
		}
	}
}

// File copies a file of an attempt to w. A file that ends too soon is an error.
func (c *Client) File(ctx context.Context, query url.Values, w io.Writer) (int64, error) {
	resp, err := c.do(ctx, http.MethodGet, "/v1/file", query, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(w, resp.Body)
	if err == nil && n != resp.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return n, fmt.Errorf("artefact store: file: %w", err)
	}
	return n, nil
}

// ---- as another instance, see replica.Member

// Add stores records at the instance alone.
func (c *Client) Add(ctx context.Context, recs ...*artefactpb.Record) error {
	body, err := proto.Marshal(&artefactpb.Batch{Records: recs})
	if err != nil {
		return fmt.Errorf("artefact store: %w", err)
	}
	_, err = c.call(ctx, http.MethodPost, "/v1/set/records", nil, body, 1<<20)
	return err
}

// Digests are the sums of what the instance has.
func (c *Client) Digests(ctx context.Context) (out [archive.Ranges]artefact.ID, err error) {
	ids, err := c.ids(ctx, "/v1/set/digests", nil)
	if err != nil {
		return out, err
	}
	if len(ids) != len(out) {
		return out, fmt.Errorf("%w: %d digests", artefact.ErrInvalid, len(ids))
	}
	copy(out[:], ids)
	return out, nil
}

// IDs lists a range.
func (c *Client) IDs(ctx context.Context, which byte) ([]artefact.ID, error) {
	return c.ids(ctx, "/v1/set/ids", url.Values{"range": {fmt.Sprint(which)}})
}

func (c *Client) ids(ctx context.Context, path string, query url.Values) ([]artefact.ID, error) {
	raw, err := c.call(ctx, http.MethodGet, path, query, nil, 256<<20)
	if err != nil {
		return nil, err
	}
	m := new(artefactpb.IDs)
	if err := protocost.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("artefact store: answer: %w", err)
	}
	return idsOf(m)
}

// Fetch returns records with the blocks that they refer to.
func (c *Client) Fetch(ctx context.Context, ids []artefact.ID) ([]*artefactpb.Record, error) {
	body, err := proto.Marshal(packIDs(ids))
	if err != nil {
		return nil, fmt.Errorf("artefact store: %w", err)
	}
	raw, err := c.call(ctx, http.MethodPost, "/v1/set/fetch", nil, body, 64<<20)
	if err != nil {
		return nil, err
	}
	batch := new(artefactpb.Batch)
	if err := protocost.Unmarshal(raw, batch); err != nil {
		return nil, fmt.Errorf("artefact store: answer: %w", err)
	}
	return batch.GetRecords(), nil
}
