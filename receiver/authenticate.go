package receiver

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"medlargw.example/medlargw"
)

// authenticate returns the team of the request's bearer token. Its run time
// does not depend on how much of a token matches, which prevents timing
// attacks.
func authenticate(cfg *medlargw.Config, r *http.Request) (medlargw.TeamName, *medlargw.RefusedError) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", &medlargw.RefusedError{Code: medlargw.CodeUnauthorized, Message: "no bearer token"}
	}
	hash := sha256.Sum256([]byte(token))
	var team medlargw.TeamName
	for i := range cfg.Teams {
		for _, key := range cfg.Teams[i].Keys {
			if subtle.ConstantTimeCompare(key[:], hash[:]) == 1 {
				team = cfg.Teams[i].Name
			}
		}
	}
	if team == "" {
		return "", &medlargw.RefusedError{Code: medlargw.CodeUnauthorized, Message: "unknown bearer token"}
	}
	return team, nil
}
