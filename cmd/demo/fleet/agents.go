package fleet

import (
	"github.com/knapweedpulley/knapweedpulley/agent"
)

// startAgent starts the agent of an endpoint. The agent of a plain service serves
// all routes of the customers.
func (f *Fleet) startAgent(e Endpoint) error {
	s := agent.Settings{Endpoint: e.ID, Machine: machineOfEndpoint(e.ID), Zone: e.Zone, Listen: e.Agent, MemoryMB: f.memoryMB}
	url := "http://" + e.Back
	if !e.Plain {
		s.Engine = &agent.EngineSettings{URL: url}
	}
	for _, route := range f.routes() {
		if e.Plain {
			s.Services = append(s.Services, agent.ServiceSettings{Route: route, URL: url})
		}
	}
	return f.processes.start(AgentOf(e), "agent", s)
}
