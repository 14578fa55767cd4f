// Package settings reads and validates the settings file of a process.
package settings

import (
	"fmt"
	"os"

	"guavayoke/pkg/document"
)

// Daemon holds the settings of guavayoked. An address is an IP address with a port.
// The process listens at CallerAddress, PeerAddress and OperatorAddress, and at
// MetricsAddress if it is set. The doc tags are the descriptions in the reference of
// the settings.
type Daemon struct {
	Name                 string   `validate:"required,max=64,name" doc:"name of the entry host, unique in its environment"`
	Environment          string   `validate:"required,max=64,name" doc:"environment whose document is served"`
	FailureDomain        string   `validate:"required,max=64,name" doc:"failure domain of the host"`
	Region               string   `validate:"required,max=64,name" doc:"region of the failure domain"`
	CallerAddress        string   `validate:"required,ip_port" doc:"address at which callers connect"`
	PeerAddress          string   `validate:"required,ip_port" doc:"address at which other entry hosts connect"`
	PeerAdvertised       string   `validate:"omitempty,ip_port" doc:"address at which other entry hosts reach PeerAddress, if it is a different one"`
	OperatorAddress      string   `validate:"required,ip_port" doc:"address at which operators connect"`
	PlatformAddresses    []string `validate:"required,min=1,max=16,dive,ip_port" doc:"addresses of the platform's service"`
	Seeds                []string `validate:"max=64,dive,ip_port" doc:"peer addresses to contact when the platform is unreachable"`
	PeerKey              string   `validate:"required,min=32,max=128,hexadecimal" doc:"shared key of all entry hosts, hexadecimal"`
	CPUShare             float64  `validate:"min=0,max=1024" doc:"processor time that the daemon may use, in cores; hosts with more are preferred as owners of a failure domain; 0 means unknown"`
	MemoryMB             int      `validate:"omitempty,min=64,max=16777216" doc:"memory that the process may use, in megabytes; a share of it bounds what connections and jobs cost; 0 means half of the host's"`
	MaxFiles             int      `validate:"omitempty,min=64,max=16777216" doc:"file descriptors that the process may open, from which the numbers of connections at each address follow; 0 means the limit of the operating system"`
	StopLimitMs          int      `validate:"min=100,max=600000" doc:"maximum duration of a graceful stop, in milliseconds"`
	StopKillSeconds      float64  `validate:"min=0,max=600" doc:"seconds between the request to stop the process and the time when it is killed; if set, the graceful stop ends before that time even if StopLimitMs is longer"`
	ConfigurationApplyMs int      `validate:"omitempty,min=1000,max=600000" doc:"time within which an accepted configuration must be in force on every host, in milliseconds, from which the intervals of the calls to the platform follow; 0 means 2000 with an Adapter and 11000 without"`
	EvacuationApplyMs    int      `validate:"omitempty,min=2000,max=600000" doc:"time within which no task may be started any more in a failure domain that the platform's operator evacuates, in milliseconds; used with an Adapter; 0 means that there are no evacuations"`
	MetricsAddress       string   `validate:"omitempty,ip_port" doc:"additional address at which metrics are served, as at OperatorAddress"`
	Adapter              string   `validate:"omitempty,oneof=Users" doc:"Users: callers, backend servers and the platform's service use the protocol of the users' platform; empty: they use the product's own protocol"`
	LogLevel             string   `validate:"oneof=debug info warn error" doc:"minimum level of events that are logged"`
}

// Read decodes a settings file into v, a pointer to a struct, and validates it.
func Read(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := document.DecodeInto(b, v); err != nil {
		return fmt.Errorf("settings %s:\n%w", file, err)
	}
	return nil
}
