package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxMetricsBytes bounds the metrics that are read from a host, in bytes.
const maxMetricsBytes = 4 << 20

// admissionMetric matches the metrics of hosts that show how the capacity of a service is divided.
var admissionMetric = regexp.MustCompile(`(?m)^cicada_admission_(share|limited|forecast_errors_total)\{service="([^"]*)",(?:priority|by|kind)="([^"]*)"\} (\S+)$`)

// readMetrics reads the metrics of a host.
func readMetrics(ctx context.Context, address string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return "", eris.Wrap(err, "creating a request for metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "reading the metrics")
	}
	defer response.Body.Close()
	page, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = eris.Errorf("the host answered with status %d", response.StatusCode)
	}
	return string(page), eris.Wrap(err, "reading the metrics")
}

// addMetrics adds how a host divides the capacity of services.
func (s *hostedState) addMetrics(page string) {
	byName := map[string]*hostedService{}
	for i := range s.Services {
		service := &s.Services[i]
		service.DividedByPriority, service.Shares, service.Limited = false, map[string]float64{}, map[string]float64{}
		byName[service.Name] = service
	}
	for _, line := range admissionMetric.FindAllStringSubmatch(page, -1) {
		service := byName[line[2]]
		value, err := strconv.ParseFloat(line[4], 64)
		if service == nil || err != nil {
			continue
		}
		service.DividedByPriority = true
		switch line[1] {
		case "share":
			service.Shares[line[3]] = value
		case "limited":
			service.Limited[line[3]] = value
		}
	}
}

// shares returns the fractions of the service for the table.
func (s *hostedService) shares() string {
	var parts []string
	for _, priority := range slices.Sorted(maps.Keys(s.Shares)) {
		parts = append(parts, fmt.Sprintf("%s: %.2f", priority, s.Shares[priority]))
	}
	for _, what := range slices.Sorted(maps.Keys(s.Limited)) {
		parts = append(parts, fmt.Sprintf("%.0f %ss limited", s.Limited[what], what))
	}
	return strings.Join(parts, ", ")
}
