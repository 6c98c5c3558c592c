package appender

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
)

// Stream names a stream of the log.
type Stream string

// The streams of the system.
const (
	StreamConfiguration Stream = "configuration"
	StreamMoves         Stream = "moves"
	StreamRoster        Stream = "roster"
	StreamClaims        Stream = "claims"
)

// Offset is a record's position in its stream, starting at 1.
type Offset int64

// Record is one record of a stream.
type Record struct {
	Offset   Offset
	Appended time.Time
	Data     []byte
}

// Page is a sequence of consecutive records with the bounds of the stream.
type Page struct {
	Records []Record
	// First is the offset of the oldest record that the log keeps.
	First Offset
	// Next is the offset to read from next.
	Next Offset
}

const (
	defaultTimeout = 2 * time.Second
	readMargin     = time.Second
	maxPageRecords = 1000
)

// Client is a client of the log service; set Address before the first call.
type Client struct {
	Address dotterelpulley.Address
	// Timeout bounds one call; 2 s if zero.
	Timeout time.Duration

	http slurper.Client
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// Append appends one record and returns its offset; after an error the record may still have been appended.
func (c *Client) Append(stream Stream, data []byte) (Offset, error) {
	return c.post(stream, data, "application/octet-stream")
}

// AppendAll appends the records in one call, in order, and returns the offset of the first; after an error they may still have been appended.
func (c *Client) AppendAll(stream Stream, records [][]byte) (Offset, error) {
	body, err := json.Marshal(wireBatch{Records: records})
	if err != nil {
		return 0, fmt.Errorf("encode %d records for stream %q: %w", len(records), stream, err)
	}
	return c.post(stream, body, "application/json")
}

func (c *Client) post(stream Stream, body []byte, contentType string) (Offset, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.url(stream))
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType(contentType)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, c.timeout()); err != nil {
		c.http.CloseIdleConnections()
		return 0, fmt.Errorf("append to stream %q: %w", stream, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return 0, fmt.Errorf("append to stream %q: status %d", stream, resp.StatusCode())
	}
	var appended wireAppended
	if err := json.Unmarshal(resp.Body(), &appended); err != nil {
		return 0, fmt.Errorf("append to stream %q: decode response: %w", stream, err)
	}
	return Offset(appended.Offset), nil
}

// Read returns the records from the offset on; if there are none yet, the log holds the request for up to wait.
func (c *Client) Read(stream Stream, from Offset, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(int64(from), 10))
	query.Set("limit", strconv.Itoa(maxPageRecords))
	query.Set("wait", wait.String())
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.url(stream) + "?" + query.Encode())
	if err := c.http.DoTimeout(req, resp, c.timeout()+wait+readMargin); err != nil {
		c.http.CloseIdleConnections()
		return Page{}, fmt.Errorf("read stream %q from %d: %w", stream, from, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return Page{}, fmt.Errorf("read stream %q from %d: status %d", stream, from, resp.StatusCode())
	}
	var page wirePage
	if err := json.Unmarshal(resp.Body(), &page); err != nil {
		return Page{}, fmt.Errorf("read stream %q from %d: decode response: %w", stream, from, err)
	}
	return page.fromWire(), nil
}

func (c *Client) url(stream Stream) string {
	return "http://" + string(c.Address) + "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}
