package planner

func (p *Planner) reportRun(event string, r *run, detail string) {
	p.reportRunID(event, r.id, r.worker, detail)
}

func (p *Planner) reportRunID(event string, id RunID, w *Worker, detail string) {
	if p.options.OnDecision != nil {
		p.options.OnDecision(Decision{Event: event, Job: id.Job, Run: id.String(), Worker: w.ID, Detail: detail})
	}
}

func (p *Planner) reportJob(event string, j *job, detail string) {
	if p.options.OnDecision != nil {
		p.options.OnDecision(Decision{Event: event, Job: j.ID, Detail: detail})
	}
}

func (p *Planner) report(event, detail string) {
	if p.options.OnDecision != nil {
		p.options.OnDecision(Decision{Event: event, Detail: detail})
	}
}

func (p *Planner) reportTask(event string, t *task, detail string) {
	if p.options.OnDecision != nil {
		p.options.OnDecision(Decision{Event: event, Job: t.id.Job, Detail: t.id.String() + ": " + detail})
	}
}

func (p *Planner) reportWorker(event string, w *Worker, detail string) {
	if p.options.OnDecision != nil {
		p.options.OnDecision(Decision{Event: event, Worker: w.ID, Detail: detail})
	}
}
