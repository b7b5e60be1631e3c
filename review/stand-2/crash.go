package main

import (
	"sync"
	"time"
)

const (
	// burstPrompts is how many prompts of many parts are sent, in half a second.
	burstPrompts = 150
	// crashedEngines of the 12 model engines crash, and are back after engineDown.
	crashedEngines = 3
	engineDown     = 2 * time.Second
)

// crashCase crashes a quarter of the model engines while they work on prompts that list
// very many short parts. Ordinary callers of the order service must get their answers.
func crashCase(c *play) (bool, error) {
	if err := c.begin(siteConfig{controls: 5, routers: 2, routerMemoryMB: 284}); err != nil {
		return false, err
	}
	if err := c.startServers(12, 3, plainAnswer(900*time.Millisecond)); err != nil {
		return false, err
	}
	if err := c.configurePrompts("safe"); err != nil {
		return false, err
	}
	stop, ordinary := make(chan struct{}), make([]chan []*attempt, c.site.config.routers)
	for i := range ordinary {
		ordinary[i] = make(chan []*attempt, 1)
		go func() { ordinary[i] <- c.ordinaryCallers(i+1, stop) }()
	}
	time.Sleep(3 * time.Second)
	var prompts sync.WaitGroup
	for i := range burstPrompts {
		prompts.Go(func() { c.prompt(i, manyParts).do(c.rec) })
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if c.trouble {
		if err := c.crashModelEngines(); err != nil {
			return false, err
		}
	}
	time.Sleep(20 * time.Second)
	close(stop)
	prompts.Wait()
	wrong := false
	for i := range ordinary {
		wrong = c.judgeUnanswered(i+1, <-ordinary[i]) || wrong
	}
	return wrong, nil
}

// crashModelEngines crashes the first of the model engines and starts them again.
func (c *play) crashModelEngines() error {
	victims := c.engines[:crashedEngines]
	for _, e := range victims {
		e.crash(e.currentID(), "the disruption srv_crash")
	}
	time.Sleep(engineDown)
	for _, e := range victims {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

func (e *engine) currentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}
