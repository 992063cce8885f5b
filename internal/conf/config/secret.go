package config

import (
	"fmt"
	"io"

	"go.uber.org/zap/zapcore"
)

const hidden = "[hidden]"

// Secret is a value that must not appear in logs, dumps or errors: it is printed, encoded and logged as "[hidden]". It is
// immutable. The zero value is an empty secret.
type Secret struct {
	// txt is a pointer, because fmt prints a pointer below the top level as an address. fmt does not call methods of
	// values in unexported fields of other types, so Format alone would not hide the text there.
	txt *string
}

var (
	_ fmt.Formatter              = Secret{}
	_ zapcore.ObjectMarshaler    = Secret{}
	_ interface{ IsZero() bool } = Secret{}
)

// NewSecret returns a Secret that holds txt.
func NewSecret(txt string) Secret {
	return Secret{
		txt: &txt,
	}
}

// Reveal returns the secret value.
func (sec Secret) Reveal() []byte {
	if sec.txt == nil {
		return nil
	}
	return []byte(*sec.txt)
}

// IsZero reports whether the secret is empty.
func (sec Secret) IsZero() bool { return sec.txt == nil || *sec.txt == "" }

// String implements fmt.Stringer.
func (Secret) String() string { return hidden }

// Format implements fmt.Formatter for every verb.
func (Secret) Format(sta fmt.State, _ rune) { _, _ = io.WriteString(sta, hidden) }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() (txt []byte, err error) { return []byte(hidden), nil }

// MarshalJSON implements json.Marshaler.
func (Secret) MarshalJSON() (data []byte, err error) { return []byte(`"` + hidden + `"`), nil }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (Secret) MarshalLogObject(enc zapcore.ObjectEncoder) (err error) {
	enc.AddString("secret", hidden)
	return nil
}
