package budgeter

import (
	"io"
	"net/http"
)

// encodingFields name the compression of a body, or of the messages in it.
var encodingFields = [...]string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// ChargeBodies returns a handler that charges the bodies of requests to the accounts of their connections, as they are read, until the
// handler has returned. It refuses compressed bodies, which may become much larger.
func ChargeBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range encodingFields {
			if r.Header.Get(name) != "" {
				http.Error(w, "compressed bodies aren't accepted", http.StatusUnsupportedMediaType)
				return
			}
		}
		body := &chargedBody{ReadCloser: r.Body, account: AccountOf(r.Context())}
		defer body.release()
		r.Body = body
		handler.ServeHTTP(w, r)
	})
}

// chargedBody is a body that its reader keeps.
type chargedBody struct {
	io.ReadCloser
	account *Account
	charged Bytes
}

// Read reads from the body; it returns ErrFull or ErrEvicted if there is no room for what has come.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	cost := Bytes(n) * byteCost
	if err := b.account.Reserve(cost); err != nil {
		return 0, err
	}
	b.charged += cost
	return n, err
}

func (b *chargedBody) release() {
	b.account.Release(b.charged)
}
