// Package authenticator identifies the sender of a request by its bearer token. The
// settings contain only hashes of the tokens.
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

// Role is the set of permissions of an identity.
type Role string

// The roles.
const (
	// RoleCaller may submit, read and cancel jobs and send requests to services, all
	// within one workspace.
	RoleCaller Role = "Caller"
	// RoleOperator may do everything.
	RoleOperator Role = "Operator"
	// RoleReader may read everything and change nothing.
	RoleReader Role = "Reader"
)

// ErrUnauthenticated is returned for requests without a known token.
var ErrUnauthenticated = errors.New("a known bearer token is needed")

// Token is the entry of one token in the settings.
type Token struct {
	Name string
	Role Role
	// Workspace is the workspace of a Caller. Other roles have access to all workspaces.
	Workspace string
	// Hash is the SHA-256 hash of the token, in hexadecimal.
	Hash string
}

// Identity is the authenticated sender of a request.
type Identity struct {
	Name      string
	Role      Role
	Workspace string
}

// Authenticator maps bearer tokens to identities.
type Authenticator struct {
	tokens    []Token
	anonymous bool
}

// New returns an Authenticator for the tokens or an error if one of them is invalid. If
// anonymous is set, requests without a token get RoleOperator.
func New(tokens []Token, anonymous bool) (a *Authenticator, err error) {
	for _, t := range tokens {
		if err := t.validate(); err != nil {
			return nil, errors.Wrapf(err, "token %q", t.Name)
		}
	}
	if len(tokens) == 0 && !anonymous {
		return nil, errors.New("no tokens are configured and AllowAnonymous is off: every request would be rejected")
	}
	return &Authenticator{tokens: tokens, anonymous: anonymous}, nil
}

func (t Token) validate() error {
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

// Hash returns the hash of a token as the settings contain it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns the identity of the sender, or ErrUnauthenticated.
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

// MayWrite reports whether the identity may change jobs of the workspace or
// send requests on its behalf.
func (i Identity) MayWrite(workspace string) bool {
	return i.Role == RoleOperator || (i.Role == RoleCaller && i.Workspace == workspace)
}

// MayRead reports whether the identity may read the data of the workspace.
func (i Identity) MayRead(workspace string) bool {
	return i.Role != RoleCaller || i.Workspace == workspace
}

// MayOperate reports whether the identity may apply tickets.
func (i Identity) MayOperate() bool { return i.Role == RoleOperator }
