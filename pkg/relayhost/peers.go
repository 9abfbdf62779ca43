package relayhost

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/mulberrystream/mulberrystream/pkg/relay"
)

// maxDatagram is the largest message between hosts in bytes.
const maxDatagram = 60 << 10

// peerSocket exchanges messages with other hosts over UDP: the next message makes up for
// a lost one, and there is no connection that could stall.
type peerSocket struct {
	conn *net.UDPConn
	log  *zap.Logger
}

func listenPeers(addr string, log *zap.Logger) (*peerSocket, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("relayhost: parse peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, fmt.Errorf("relayhost: listen for peers on %s: %w", addr, err)
	}
	return &peerSocket{conn: conn, log: log}, nil
}

func (s *peerSocket) send(e relay.Send) {
	data, err := cbor.Marshal(e.Message)
	if err != nil {
		s.log.Error("beats: encoding message failed", zap.Error(err))
		return
	}
	for _, addr := range e.To {
		ap, err := netip.ParseAddrPort(addr)
		if err != nil {
			s.log.Warn("beats: invalid address", zap.String("peer", addr), zap.Error(err))
			continue
		}
		if _, err := s.conn.WriteToUDPAddrPort(data, ap); err != nil {
			s.log.Debug("beats: sending failed", zap.String("peer", addr), zap.Error(err))
		}
	}
}

// receive passes each message to handle until the socket is closed.
func (s *peerSocket) receive(handle func(relay.Message)) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Debug("beats: receiving failed", zap.Error(err))
			continue
		}
		var m relay.Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			s.log.Warn("beats: decoding message failed", zap.Stringer("peer", from), zap.Error(err))
			continue
		}
		handle(m)
	}
}

func (s *peerSocket) close() { _ = s.conn.Close() }
