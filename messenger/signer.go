package messenger

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"time"

	"medlargw.example/medlargw/messenger/wire"
	"medlargw.example/medlargw/shedder"
)

// Headers of a request.
const (
	headerSignature = "Medlargw-Signature" // The HMAC of the request.
	headerProof     = "Medlargw-Proof"     // An HMAC without the message, of long ones.
)

const (
	// maxMessageBytes is the largest accepted request body. The largest requests
	// are forwarded submissions.
	maxMessageBytes = 260 << 20
	// minProvenBytes is the length from which messages are sent with a proof.
	minProvenBytes = 64 << 10
	// maxUnprovenBytes is the longest message that is read without a proof. Former builds
	// send none.
	maxUnprovenBytes = 2 << 20
	proofBytes       = 16 // Of an HMAC of 32 bytes.
)

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

// prove returns a proof that the sender of a message knows the key, which is verified before
// the message is read.
func (s signer) prove(path string, length int64, signature string) string {
	mac := hmac.New(sha256.New, s.key)
	_, _ = fmt.Fprintf(mac, "%s\x00%d\x00%s", path, length, signature) // A hash takes all.
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:proofBytes])
}

// isProven reports whether a request carries a proof, and returns false for one with a
// wrong proof or with a long message without one.
func (s signer) isProven(r *http.Request) (proven, acceptable bool) {
	proof := r.Header.Get(headerProof)
	if proof == "" {
		return false, r.ContentLength >= 0 && r.ContentLength <= maxUnprovenBytes
	}
	proven = hmac.Equal([]byte(proof), []byte(s.prove(r.URL.Path, r.ContentLength, r.Header.Get(headerSignature))))
	return proven, proven
}

// verify passes requests with a valid signature to next and rejects all others. The guard
// watches the connections of those who have not sent any.
func (s signer) verify(count counters, guard *shedder.Shedder, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.requestsIn.Inc(1)
		proven, acceptable := s.isProven(r)
		if !acceptable {
			refuseStranger(w)
			return
		}
		if proven {
			guard.Trust(r.Context())
		} else {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(headerTimeout))
		}
		body, err := guard.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		want := s.sign(r.URL.Path, body)
		if !hmac.Equal([]byte(r.Header.Get(headerSignature)), []byte(want)) {
			refuseStranger(w)
			return
		}
		if !proven {
			_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
			guard.Trust(r.Context())
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// refuseStranger responds to a request without a valid signature. The rest of its body is
// not waited for.
func refuseStranger(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	http.Error(w, "wrong signature", http.StatusUnauthorized)
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
	signature := c.signer.sign(r.URL.Path, body)
	r.Header.Set(headerSignature, signature)
	if len(body) >= minProvenBytes {
		r.Header.Set(headerProof, c.signer.prove(r.URL.Path, int64(len(body)), signature))
	}
	c.counters.requestsOut.Inc(1)
	c.counters.countCall(r.URL.Path, len(body))
	return c.client.Do(r) //nolint:gosec // Peers are identified by their address alone.
}
