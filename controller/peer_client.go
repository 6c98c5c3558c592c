package controller

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/certifier"
	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
)

const (
	certificateReloadInterval = time.Minute
	maxReportBytes            = 8 << 20
)

// peerClient calls the entry hosts on their peer listeners, over TLS if certificate files are given.
type peerClient struct {
	certifier certifier.Certifier
	client    *http.Client
	timeout   time.Duration
}

func (p *peerClient) start(files certifier.Files, timeout time.Duration) error {
	p.timeout = timeout
	p.certifier = certifier.Certifier{Files: files, Protocols: []string{"h2"}, DialTimeout: timeout}
	p.client = p.certifier.HTTPClient(timeout)
	return p.reload()
}

// reload reads the certificate files again, as they may have been replaced.
func (p *peerClient) reload() error {
	if !p.certifier.Files.Configured() {
		return nil
	}
	return p.certifier.Load()
}

func (p *peerClient) call(ctx context.Context, method string, address dotterelpulley.Address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, p.certifier.Scheme()+"://"+string(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call %q of entry host %q: %w", path, address, err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %q of entry host %q: %w", path, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("call %q of entry host %q: status %d", path, address, resp.StatusCode)
	}
	return slurper.ReadAll(resp.Body, maxReportBytes)
}
