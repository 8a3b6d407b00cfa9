package crowdtest

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestCrowdOnOneHost guards against a host whose memory grows with the bodies that clients leave open,
// while ordinary callers use it.
func TestCrowdOnOneHost(t *testing.T) {
	for _, form := range bodyForms {
		t.Run(form.name, func(t *testing.T) {
			d := newServingDeployment(t, 1)
			stop := make(chan struct{})
			var traffic sync.WaitGroup
			traffic.Add(1)
			go func() {
				defer traffic.Done()
				d.trafficUntil(stop, d.hosts[0])
			}()
			c := press(d, d.hosts[0].settings.Listen.Callers, crowdSize, form)
			c.settle()
			close(stop)
			traffic.Wait()
			d.checkServes()
			c.leave()
			d.checkServes()
			d.checkBounds()
		})
	}
}

// TestCrowdOnAllHosts guards against a deployment in which the crowds of several hosts add up, through
// what the hosts send each other.
func TestCrowdOnAllHosts(t *testing.T) {
	for _, form := range bodyForms {
		t.Run(form.name, func(t *testing.T) {
			d := newServingDeployment(t, 3)
			var crowds []*crowd
			for _, h := range d.hosts {
				crowds = append(crowds, press(d, h.settings.Listen.Callers, crowdSize, form))
			}
			for _, c := range crowds {
				c.settle()
			}
			d.checkServes()
			for _, c := range crowds {
				c.leave()
			}
			d.checkBounds()
		})
	}
}

// TestCrowdWhileHostStartsAndDrains guards against a host that a crowd keeps from starting, from reading
// its settings again or from ending, and against a start without limits because there is no configuration
// yet.
func TestCrowdWhileHostStartsAndDrains(t *testing.T) {
	for _, form := range bodyForms {
		t.Run(form.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			h := d.hosts[0]
			early := press(d, h.settings.Listen.Callers, crowdSize, form)
			time.Sleep(300 * time.Millisecond)
			d.publish()
			d.checkServes()
			h.process.Signal(syscall.SIGHUP)
			late := press(d, h.settings.Listen.Callers, crowdSize, form)
			time.Sleep(200 * time.Millisecond)
			d.restart(h)
			early.settle()
			late.settle()
			d.checkServes()
			early.leave()
			late.leave()
			d.checkBounds()
		})
	}
}
