package workspace

import (
	"net/http"
	"strings"
)

// Credentials is the kind of credentials that a request carries. It is safe to log.
type Credentials string

const (
	CredentialsMissing Credentials = "missing"
	CredentialsInvalid Credentials = "not one bearer key" // another scheme, no key after the scheme or several headers
	CredentialsKey     Credentials = "key"
)

const (
	authorizationHeader = "Authorization"
	bearerScheme        = "Bearer"
)

// KeyOf returns the key that a request carries as "Authorization: Bearer KEY". A request with several such headers
// carries none, because its receivers could choose different ones.
func KeyOf(header http.Header) (key string, kind Credentials) {
	values := header.Values(authorizationHeader)
	if len(values) == 0 {
		return "", CredentialsMissing
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " \t")
	if len(values) > 1 || !strings.EqualFold(scheme, bearerScheme) || key == "" {
		return "", CredentialsInvalid
	}
	return key, CredentialsKey
}

// RemoveCredentials removes the headers in which a request carries a key.
func RemoveCredentials(header http.Header) { header.Del(authorizationHeader) }
