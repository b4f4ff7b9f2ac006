// Package authenticator tells who sent a request, by bearer token. Tokens stand
// in the settings only as hashes.
//
//	a, err := authenticator.New(tokens, false)
//	identity, err := a.Identify(request)
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Role is what an identity may do.
type Role string

// The roles.
const (
	// RoleCaller may submit, see and cancel jobs and send requests, all within
	// one workspace.
	RoleCaller Role = "Caller"
	// RoleOperator may do everything.
	RoleOperator Role = "Operator"
	// RoleReader may see everything and change nothing.
	RoleReader Role = "Reader"
)

// ErrUnauthenticated marks requests without a known token.
var ErrUnauthenticated = errors.New("a known bearer token is needed")

// Token is one token of the settings.
type Token struct {
	Name string
	Role Role
	// Workspace bounds a Caller.
	Workspace string
	// Hash is the SHA-256 of the token, in hexadecimal.
	Hash string
}

// Identity is who sent a request.
type Identity struct {
	Name      string
	Role      Role
	Workspace string
}

// Authenticator knows the tokens.
type Authenticator struct {
	tokens    []Token
	anonymous bool
}

// New checks the tokens. With anonymous set, requests without a token have the
// role of an operator.
func New(tokens []Token, anonymous bool) (a *Authenticator, err error) {
	for _, t := range tokens {
		if err := t.check(); err != nil {
			return nil, errors.Wrapf(err, "token %q", t.Name)
		}
	}
	if len(tokens) == 0 && !anonymous {
		return nil, errors.New("no tokens are set and AllowAnonymous is off: nobody could use the instance")
	}
	return &Authenticator{tokens: tokens, anonymous: anonymous}, nil
}

func (t Token) check() error {
	if t.Name == "" {
		return errors.New("Name is missing")
	}
	if raw, err := hex.DecodeString(t.Hash); err != nil || len(raw) != sha256.Size {
		return errors.New("Hash must be a SHA-256 in hexadecimal")
	}
	switch t.Role {
	case RoleOperator, RoleReader:
		return nil
	case RoleCaller:
		if t.Workspace == "" {
			return errors.New("a Caller needs a Workspace")
		}
		return nil
	}
	return errors.Newf("Role %q is not one of Caller, Operator, Reader", t.Role)
}

// Hash returns the form in which a token stands in the settings.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns who sent the request.
func (a *Authenticator) Identify(r *http.Request) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		if a.anonymous {
			return Identity{Name: "anonymous", Role: RoleOperator}, nil
		}
		return Identity{}, ErrUnauthenticated
	}
	hash := []byte(Hash(token))
	for _, t := range a.tokens {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(t.Hash))) == 1 {
			return Identity{Name: t.Name, Role: t.Role, Workspace: t.Workspace}, nil
		}
	}
	return Identity{}, ErrUnauthenticated
}

// MayWrite reports whether the identity may change things of the workspace.
func (i Identity) MayWrite(workspace string) bool {
	return i.Role == RoleOperator || (i.Role == RoleCaller && i.Workspace == workspace)
}

// MayRead reports whether the identity may see things of the workspace.
func (i Identity) MayRead(workspace string) bool {
	return i.Role != RoleCaller || i.Workspace == workspace
}

// MayOperate reports whether the identity may apply tickets.
func (i Identity) MayOperate() bool { return i.Role == RoleOperator }
