package budgeter

import (
	"bytes"
	"io"
	"net/http"
)

// EncodeResponse returns a complete response that ends its connection, for the refusals of a Listener.
func EncodeResponse(status int, header http.Header, body []byte) []byte {
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	var out bytes.Buffer
	// A buffer takes all that is written.
	_ = response.Write(&out)
	return out.Bytes()
}
