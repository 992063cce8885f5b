// Package peer implements calls between entry VMs with net/rpc over TCP.
//
// A Client keeps at most one multiplexed connection to each address and implements cardamompass.PeerCaller. A Server
// dispatches calls to the exported methods of registered receivers. Messages are encoded with gob, one message per frame.
// A frame starts with its length, so that a receiver rejects an oversized message before it allocates memory for it.
//
// # Authentication
//
// Before the first call, both sides prove that they hold the shared key. Each side sends a random nonce of 32 bytes and
// an HMAC-SHA256 over a role label and both nonces. The nonces are new for each connection, so a recorded handshake
// can't be replayed, and the label differs by role, so a proof can't be reflected to its sender. A process without the
// key can neither call a server nor impersonate one.
//
// The handshake does not protect the bytes that follow it. They are neither encrypted nor authenticated: anyone who can
// read the network traffic can read the calls, and a man in the middle who relays the handshake between two holders of
// the key can afterwards change, drop or insert calls. The package relies on a network in which only the platform can do
// that. All holders of the key are equivalent; the handshake does not identify the entry VM at the other end.
//
// # Errors
//
// A method's NotRunError, UnknownOutcomeError or InvalidError is returned to the caller wrapped in a RemoteError;
// errors.As finds it. A PeerUnsentError means that no byte of the call was sent.
package peer
