// Package peer carries calls between entry VMs with net/rpc over TCP.
//
// A Client keeps at most one multiplexed connection to each address and implements cardamompass.PeerCaller. A Server
// dispatches calls to the exported methods of registered receivers. Messages are gob, one message a frame; a frame
// starts with its length, so that a receiver refuses an oversized message before it allocates memory for it.
//
// # Authentication
//
// Before the first rpc byte both sides prove that they hold the shared key. Each side sends a random nonce of 32 bytes
// and an HMAC-SHA256 over a role label and both nonces. The nonces are fresh for each connection, so a recorded
// handshake can't be replayed, and the label differs by role, so a proof can't be reflected to its sender. A process
// without the key can neither call a server nor answer in place of one.
//
// The handshake does not protect the bytes that follow it. They are neither encrypted nor authenticated: whoever can
// read the network reads the calls, and a middleman that relays the handshake between two holders of the key can
// afterwards change, drop or insert calls. The package relies on a network in which only the platform can do that.
// All holders of the key are equal; the handshake does not tell which entry VM is at the other end.
//
// # Errors
//
// A method's NotRunError, UnknownOutcomeError or InvalidError reaches the caller inside a RemoteError, and errors.As
// finds it. A PeerUnsentError means that no byte of the call was sent.
package peer
