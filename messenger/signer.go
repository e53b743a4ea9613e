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

// headerSignature carries the signature of a request.
const headerSignature = "Medlargw-Signature"

// maxMessage is the largest request that is read, in bytes. A forwarded
// submission is the largest.
const maxMessage = 260 << 20

// signer signs requests with the deployment's key.
type signer struct{ key []byte }

// newSigner derives the key, so that it serves this purpose alone.
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

// verify passes on the requests whose signature is right.
func (s signer) verify(count counters, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.served.Inc(1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
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

// signingClient signs each request before it is sent.
type signingClient struct {
	signer   signer
	client   *http.Client
	counters counters
}

var _ wire.HTTPClient = (*signingClient)(nil)

// Do signs the request and sends it once.
func (c *signingClient) Do(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("read message: %w", err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.GetBody = nil // Without it the transport does not resend.
	r.Header.Set(headerSignature, c.signer.sign(r.URL.Path, body))
	c.counters.carried.Inc(1)
	return c.client.Do(r) //nolint:gosec // Peers are known by address alone.
}
