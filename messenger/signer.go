package messenger

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"

	"medlargw.example/medlargw/messenger/wire"
)

// headerSignature is the header with the HMAC of the request.
const headerSignature = "Medlargw-Signature"

// maxMessageBytes is the largest accepted request body. The largest requests
// are forwarded submissions.
const maxMessageBytes = 260 << 20

// signer signs requests and verifies their signatures.
type signer struct{ key []byte }

// newSigner returns a signer with a key that is derived from the deployment's
// key, so that its signatures are not valid for other uses of that key.
func newSigner(key string) signer {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte("messenger"))
	return signer{key: mac.Sum(nil)}
}

func (s signer) sign(path string, body []byte) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(path))
	mac.Write([]byte{0})
	mac.Write(body)
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// verify passes requests with a valid signature to next and rejects all others.
func (s signer) verify(count counters, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.requestsIn.Inc(1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		want := s.sign(r.URL.Path, body)
		if !hmac.Equal([]byte(r.Header.Get(headerSignature)), []byte(want)) {
			http.Error(w, "wrong signature", http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// signingClient is an HTTP client that signs each request.
type signingClient struct {
	signer   signer
	client   *http.Client
	counters counters
}

var _ wire.HTTPClient = (*signingClient)(nil)

// Do signs the request and sends it at most once.
func (c *signingClient) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("read message: %w", err)
	}
	// With GetBody, the transport sends a POST request on another connection if one that
	// was idle has failed before the first byte. It never repeats a request of which
	// anything was sent.
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	r.Body, _ = r.GetBody()
	r.Header.Set(headerSignature, c.signer.sign(r.URL.Path, body))
	c.counters.requestsOut.Inc(1)
	c.counters.countCall(r.URL.Path, len(body))
	return c.client.Do(r) //nolint:gosec // Peers are identified by their address alone.
}
