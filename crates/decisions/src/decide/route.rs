//! Where a request goes, or whether it is held: plans of table groups, their order, prices, and what waits.

use super::*;

const ROOM_LEAST: f64 = 0.02; // share of a kind left to classes open to all, at least: last in line
const PLAN_SLACK: f64 = 1.25; // times an engine's even part of all queries that groups may be planned on it
const FAR: f64 = 4.0; // times as far to an engine of another zone, as long as others of its group's take more
const STALL_MS: f64 = 2000.0; // ms; that a gateway may stand still unforeseen while it holds a request
const STALL_PART: f64 = 0.75; // but no more than this part of the time that its client waits
const PUMP_MOST: usize = 8; // held requests tried in one pass; bounds its work
const EXTRA_SHARE: f64 = 0.2; // further attempts that a request earns: overload lets them lapse
const RUN_MARGIN: f64 = 1.3; // times its run alone that a query takes at least beside others
const LIGHT_OVER: f64 = 1.3; // times the bound up to which light work still goes without priorities
const LATE_KEPT: f64 = 0.2; // late worth; from here a late answer is worth its wait
const KEY_LINE: usize = 256; // requests of one key: more can't have their turn while their clients wait

impl Gateway {
    fn weight(&self, class: &ClassSettings, e: &Engine) -> f64 {
        let left = if class.kinds.is_none() { self.shown[e.kind].left } else { 1.0 };
        e.cores * left.max(ROOM_LEAST)
    }

    /// Plans all table groups anew: counts or the list have changed.
    pub(super) fn plan_all(&mut self) {
        let mut plans = Vec::new();
        for class in &self.settings.classes {
            let open = |e: &&Engine| e.listed && open_to(class, &e.member);
            let all: f64 = self.engines.iter().filter(open).map(|e| self.weight(class, e)).sum();
            let room = PLAN_SLACK / (1.0 - 1.0 / self.gateways()).max(1e-3) / all;
            let part = |e: &Engine| if open(&e) { room * self.weight(class, e) } else { 0.0 };
            let mut plan = Plan { room: self.engines.iter().map(part).collect(), ..Plan::default() };
            self.groups.names().into_iter().for_each(|group| self.plan(class, &mut plan, group));
            plans.push(plan);
        }
        self.plans = plans;
    }

    /// Spreads a group over the first engines in its order, each up to its part of all queries. Many gateways
    /// that see little each never find a home pressed: where groups are few, all would press the same few.
    fn plan(&self, class: &ClassSettings, plan: &mut Plan, group: u64) {
        if !plan.parts.contains_key(&group) {
            let open = self.engines.iter().enumerate().filter(|(i, _)| plan.room[*i] > 0.0);
            let order = by_distance(open.map(|(i, e)| (i, e.hash, self.weight(class, e))), group);
            plan.fill(group, self.groups.share(group), order.into_iter());
        }
    }

    /// Engines open to the request in its group's order: rendezvous hash, by cores less what bound classes
    /// need; failed or held ones last. What holds its tables is spread by request, off the group's readers.
    pub(super) fn ranked(&self, job: &Job) -> Vec<usize> {
        let (class, tables) = (self.class(job), job.request.tables);
        let classes = self.settings.classes.iter();
        let waiting = self.plans.iter().zip(classes).filter(|(_, class)| class.waits_for_holder);
        let read = |i: usize| waiting.clone().any(|(plan, _)| plan.part(tables, i).is_some());
        let parts = self.plans.get(job.request.class.0).and_then(|plan| plan.parts.get(&tables));
        let part = |i: usize| parts?.iter().find(|(e, _)| *e == i).map(|(_, part)| *part);
        let near = |e: &Engine| self.settings.zone.as_ref().is_none_or(|zone| *zone == e.member.zone);
        let by_request = |e: &Engine| rendezvous(e.hash, job.hash) * if near(e) { 1.0 } else { FAR };
        type Placed = (bool, bool, f64, usize);
        let nearer = |a: &Placed, b: &Placed| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2));
        let open = self.engines.iter().enumerate().filter(|(_, e)| e.listed && open_to(class, &e.member));
        let place = |(i, e): (usize, &Engine)| match part(i) {
            _ if class.holds_tables => (read(i), false, by_request(e) / self.weight(class, e), i),
            Some(part) => (false, false, by_request(e) / part, i),
            None => (false, true, rendezvous(e.hash, tables) / self.weight(class, e), i),
        };
        let mut order: Vec<Placed> = open.map(place).collect();
        for o in &mut order {
            let held = self.blocked.get(&(o.3, tables)).is_some_and(|until| *until > self.now);
            o.0 |= held && (class.waits_for_holder || class.holds_tables);
            o.0 |= job.tried(o.3);
        }
        order.sort_by(nearer);
        order.into_iter().map(|(_, _, _, i)| i).collect()
    }

    pub(super) fn usable(&self, seq: u64, e: usize) -> bool {
        let (engine, class) = (&self.engines[e], self.class(&self.jobs[&seq]));
        let tries = engine.health == Health::HalfOpen && engine.out < 1.0;
        // What can't be sent again is never the trial of an engine that failed.
        let trial = || class.repeat == Repeat::Safe && self.zones.due(&engine.member.zone, self.now);
        (engine.health == Health::Well || (tries && class.repeat != Repeat::Unsafe))
            && (!self.zone_lost(e) || trial())
            && self.may_send(seq, e)
    }

    pub(super) fn arrived(&mut self, mut request: Request, out: &mut Vec<Action>) {
        request.class.0 = request.class.0.min(self.settings.classes.len() - 1);
        self.extra = (self.extra + EXTRA_SHARE).min(EXTRA_MOST);
        self.counts.taken.push_back(self.now);
        let tenant = self.settings.tenants.iter().find(|t| Some(&*t.name) == request.tenant.as_deref());
        let seen = tenant.map_or(0.0, |t| self.tenants.count(&t.name)) * self.gateways();
        let share = tenant.and_then(|t| t.quota_per_s).unwrap_or(f64::INFINITY) * TENANT_MS / 1000.0;
        let seq = self.next;
        self.next += 1;
        self.ids.insert(request.id.clone(), seq);
        let mut job = Job::new(request, self.now);
        job.over_share = seen > share;
        (job.work_ms, job.need_mb) = self.estimate(&job);
        self.learned[job.request.class.0].asked += job.work_ms;
        self.prices.count(job.work_ms / self.worth(&job), job.work_ms);
        let mut full = false;
        if let Some(key) = job.request.key.as_ref().filter(|_| self.class(&job).in_order) {
            full = self.keys.join(key, seq) > KEY_LINE;
        }
        self.groups.count(job.request.tables);
        let mut plans = std::mem::take(&mut self.plans);
        for (class, plan) in self.settings.classes.iter().zip(&mut plans) {
            self.plan(class, plan, job.request.tables);
        }
        self.plans = plans;
        self.jobs.insert(seq, job);
        if full {
            self.give_up(seq, out)
        } else {
            self.dispatch(seq, out)
        }
    }

    /// Sends the request, holds it, or ends it.
    pub(super) fn dispatch(&mut self, seq: u64, out: &mut Vec<Action>) {
        let ranked = self.ranked(&self.jobs[&seq]);
        if let (None, Some(&home)) = (self.jobs[&seq].flagged, ranked.first()) {
            self.decide_flag(seq, home);
        }
        let mut fits: Vec<usize> = ranked.into_iter().filter(|e| self.usable(seq, *e)).collect();
        // Behind the holder of its tables a load only keeps memory: it waits here, for the first to be free.
        let (holds, tables) = (self.class(&self.jobs[&seq]).holds_tables, self.jobs[&seq].request.tables);
        let taken = |e: &usize| self.blocked.get(&(*e, tables)).is_some_and(|until| *until > self.now);
        fits.retain(|e| !(holds && taken(e)));
        let job = &self.jobs[&seq];
        let (flagged, threads) = (job.flagged == Some(true), self.threads(job));
        let waits = fits.is_empty() || flagged || self.in_time(job);
        let room =
            |e: &&usize| !self.past_bound(**e, threads) && (!flagged || self.free_memory(**e) >= job.need_mb);
        let free_cores = |e: &usize| {
            let (engine, load) = (&self.engines[*e], self.load(*e));
            let busy = engine.fresh(TRUST_LEAST).and_then(|r| r.busy);
            busy.map_or(load < engine.cores, |b| b < FULL_RATE && load < engine.bound)
        };
        let light_class = 2.0 * self.learned[job.request.class.0].work_ms <= self.middle;
        let passes = self.is_small(job) || (light_class && self.is_light(job));
        let dear = !passes && self.too_dear(job);
        let calm = |e: &usize| !dear || !self.pressed(*e, self.load(*e));
        let mut choice = fits.iter().find(room).copied().filter(calm);
        if choice.is_none() && !dear && !flagged && (passes || fits.iter().any(free_cores)) {
            let load = |e: &usize| self.load(*e) / self.engines[*e].cores;
            fits.retain(|e| passes || free_cores(e));
            // Light work passes the bound where priorities speed it up; elsewhere it would crowd like any.
            let bears =
                |e: &usize| self.settings.priorities || self.load(*e) < LIGHT_OVER * self.engines[*e].bound;
            let borne = fits.iter().copied().filter(bears);
            choice = borne.min_by(|a, b| load(a).total_cmp(&load(b)));
        }
        // Refused at once, unless it waits as a flag, for an engine at all, or can still be in time.
        match choice {
            Some(e) => self.send(seq, e, out),
            None if waits && !self.too_late(job) => drop(self.held.insert(seq)),
            None => self.give_up(seq, out),
        }
    }

    fn worth(&self, job: &Job) -> f64 {
        let kept = if job.over_share { self.settings.over_share_worth } else { 1.0 };
        (self.class(job).worth * kept).max(1e-6)
    }

    /// Where the fleet is crowded only a share of the asked work is admitted, the cheapest for its worth
    /// first and of one price by lot. Covers any overload; harms where signs deceive.
    fn too_dear(&self, job: &Job) -> bool {
        let (cheaper, alike) = self.prices.around(job.work_ms / self.worth(job));
        cheaper + alike * (mix(job.hash) as f64 / u64::MAX as f64) > self.admitted
    }

    /// Worth nothing late, not to be done before its client leaves, or lost if this gateway stands still.
    pub(super) fn too_late(&self, job: &Job) -> bool {
        let left = job.request.left.as_millis();
        let run = (RUN_MARGIN * job.work_ms / self.threads(job)).min(left / 2.0) + LAST_CALL.as_millis();
        let still = STALL_MS.min(STALL_PART * left).max(RUN_MARGIN * self.gap.as_millis());
        (!self.in_time(job) && self.class(job).late_worth < LATE_KEPT)
            || job.deadline.since(self.now).as_millis() <= run.max(still)
    }

    pub(super) fn in_time(&self, job: &Job) -> bool {
        let (class, run) = (self.class(job), job.work_ms / self.threads(job));
        let aim = class.aim.as_millis() + class.aim_stretch * run;
        self.now.since(job.taken).as_millis() + RUN_MARGIN * run < aim.min(job.request.left.as_millis())
    }

    /// Tries held requests again: in time before late, inside before over share, most worth per work.
    pub(super) fn pump(&mut self, out: &mut Vec<Action>) {
        if self.held.is_empty() || self.pumped == self.now {
            return;
        }
        self.pumped = self.now;
        let turn =
            self.held.iter().map(|seq| (*seq, &self.jobs[seq])).filter(|(seq, job)| self.in_turn(*seq, job));
        let price = |job: &Job| job.work_ms / self.worth(job);
        let rank = |(seq, job): (u64, &Job)| (!self.in_time(job), job.over_share, price(job), seq);
        let mut order: Vec<(bool, bool, f64, u64)> = turn.map(rank).collect();
        order.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)));
        for (_, _, _, seq) in order.into_iter().take(PUMP_MOST) {
            self.held.remove(&seq);
            self.dispatch(seq, out);
        }
    }
}
