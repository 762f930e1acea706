//! The attempt protocol as a state machine: two requests, two engines, two connections to each.
//!
//! A connection keeps the order of what it carries; nothing orders two connections. The node cancels by `never_mind` and,
//! where the request is to be sent again, waits for the `green` to a `there` behind it (`docs/design.md`, "Cancel and send
//! again"). What the model leaves out: pages, notes, priorities, partial writes, time but for its order.

use stateright::{Model, Property};

/// Requests.
pub const REQUESTS: usize = 2;
/// Engines.
pub const ENGINES: usize = 2;
/// Connections to each engine.
pub const CONNS: usize = 2;

/// When a cancelled request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirm {
    /// At once, as it was before confirmations came.
    Never,
    /// When the engine has confirmed.
    Always,
    /// When the engine has confirmed, or a connection that is cut has given no sign for long enough.
    UnlessCut,
}

/// What is explored.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// The rule on cancels.
    pub confirm: Confirm,
    /// Whether the first request may be run twice; the second never may.
    pub first_is_safe: bool,
    /// Attempts for each request.
    pub tries: u8,
    /// Whether connections may be cut for good.
    pub cuts: bool,
    /// Whether engines may die, once each.
    pub deaths: bool,
    /// A planted fault: a load is sent again after a reset.
    pub repeats_loads: bool,
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts {
            confirm: Confirm::Always,
            first_is_safe: true,
            tries: 2,
            cuts: false,
            deaths: true,
            repeats_loads: false,
        }
    }
}

/// Where an attempt runs: an engine and a connection to it.
pub type At = (usize, usize);

/// A request as the node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waits in the node.
    Waiting,
    /// Sent.
    Out(At),
    /// Called off, and to be sent again when that is confirmed.
    CalledOff(At),
    /// Answered.
    Answered,
}

/// From the node to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Say {
    /// `want`.
    Want(usize, u8),
    /// `never_mind`.
    NeverMind(usize, u8),
    /// `there`.
    There(usize, u8),
}

/// From an engine to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// `served`.
    Served(usize, u8),
    /// `green`.
    Green(usize, u8),
}

/// Everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The requests.
    pub phase: [Phase; REQUESTS],
    /// Attempts made for each.
    pub tries: [u8; REQUESTS],
    /// Final answers given for each.
    pub answers: [u8; REQUESTS],
    /// Times that each began to run anywhere.
    pub runs: [u8; REQUESTS],
    /// What is under way to the engines, by connection, oldest first.
    pub up: [[Vec<Say>; CONNS]; ENGINES],
    /// And back.
    pub down: [[Vec<Reply>; CONNS]; ENGINES],
    /// What runs at each engine: request, attempt, and the connection by which it came.
    pub running: [Vec<(usize, u8, usize)>; ENGINES],
    /// Connections on which nothing moves any more, though neither side knows.
    pub cut: [[bool; CONNS]; ENGINES],
    /// Engines that have died once.
    pub died: [bool; ENGINES],
}

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The node sends a request.
    Send(usize, At),
    /// The node calls it off, to send it again.
    Cancel(usize),
    /// The node has waited long enough for a confirmation.
    Unconfirmed(usize),
    /// An engine reads the next line of a connection.
    Read(At),
    /// An engine ends what it runs.
    Finish(usize, usize),
    /// The node reads the next line of a connection.
    Hear(At),
    /// A connection is cut.
    Cut(At),
    /// An engine dies, and is back empty; its connections are reset.
    Die(usize),
}

impl Attempts {
    fn safe(&self, request: usize) -> bool {
        self.first_is_safe && request == 0
    }

    fn hear(&self, state: &mut State, (engine, conn): At) {
        match state.down[engine][conn].remove(0) {
            Reply::Served(request, attempt) => {
                // A late line of an attempt that was called off ends nothing: its name is spent.
                if state.phase[request] == Phase::Out((engine, conn)) && state.tries[request] == attempt {
                    state.phase[request] = Phase::Answered;
                    state.answers[request] += 1;
                }
            }
            Reply::Green(request, attempt) => {
                if state.phase[request] == Phase::CalledOff((engine, conn)) && state.tries[request] == attempt
                {
                    self.free(state, request);
                }
            }
        }
    }

    /// An attempt is over, and may have run: another may follow, or the client is told so.
    fn free(&self, state: &mut State, request: usize) {
        if self.safe(request) && state.tries[request] < self.tries || self.repeats_loads {
            state.phase[request] = Phase::Waiting;
        } else {
            state.phase[request] = Phase::Answered;
            state.answers[request] += 1;
        }
    }

    fn die(&self, state: &mut State, engine: usize) {
        state.died[engine] = true;
        state.running[engine].clear();
        state.up[engine].iter_mut().for_each(Vec::clear);
        state.down[engine].iter_mut().for_each(Vec::clear);
        state.cut[engine] = [false; CONNS];
        for request in 0..REQUESTS {
            match state.phase[request] {
                Phase::Out((at, _)) | Phase::CalledOff((at, _)) if at == engine => self.free(state, request),
                _ => {}
            }
        }
    }
}

impl Model for Attempts {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            phase: [Phase::Waiting; REQUESTS],
            tries: [0; REQUESTS],
            answers: [0; REQUESTS],
            runs: [0; REQUESTS],
            up: Default::default(),
            down: Default::default(),
            running: Default::default(),
            cut: Default::default(),
            died: [false; ENGINES],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for request in 0..REQUESTS {
            match state.phase[request] {
                Phase::Waiting if state.tries[request] < self.tries => {
                    for engine in 0..ENGINES {
                        actions.extend((0..CONNS).map(|conn| Step::Send(request, (engine, conn))));
                    }
                }
                Phase::Out(_) if self.safe(request) && state.tries[request] < self.tries => {
                    actions.push(Step::Cancel(request));
                }
                Phase::CalledOff((engine, conn))
                    if self.confirm == Confirm::UnlessCut && state.cut[engine][conn] =>
                {
                    actions.push(Step::Unconfirmed(request));
                }
                _ => {}
            }
        }
        for engine in 0..ENGINES {
            for conn in 0..CONNS {
                if state.cut[engine][conn] {
                    continue;
                }
                if !state.up[engine][conn].is_empty() {
                    actions.push(Step::Read((engine, conn)));
                }
                if !state.down[engine][conn].is_empty() {
                    actions.push(Step::Hear((engine, conn)));
                }
                if self.cuts {
                    actions.push(Step::Cut((engine, conn)));
                }
            }
            actions.extend(state.running[engine].iter().map(|(request, ..)| Step::Finish(engine, *request)));
            if self.deaths && !state.died[engine] {
                actions.push(Step::Die(engine));
            }
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Send(request, (engine, conn)) => {
                state.tries[request] += 1;
                state.phase[request] = Phase::Out((engine, conn));
                state.up[engine][conn].push(Say::Want(request, state.tries[request]));
            }
            Step::Cancel(request) => {
                let Phase::Out((engine, conn)) = state.phase[request] else { return None };
                let attempt = state.tries[request];
                state.up[engine][conn].push(Say::NeverMind(request, attempt));
                if self.confirm == Confirm::Never {
                    self.free(&mut state, request);
                } else {
                    state.up[engine][conn].push(Say::There(request, attempt));
                    state.phase[request] = Phase::CalledOff((engine, conn));
                }
            }
            Step::Unconfirmed(request) => self.free(&mut state, request),
            Step::Read((engine, conn)) => match state.up[engine][conn].remove(0) {
                Say::Want(request, attempt) => {
                    state.running[engine].push((request, attempt, conn));
                    state.runs[request] += 1;
                }
                Say::NeverMind(request, attempt) => {
                    state.running[engine].retain(|(r, a, _)| (*r, *a) != (request, attempt));
                }
                Say::There(request, attempt) => state.down[engine][conn].push(Reply::Green(request, attempt)),
            },
            Step::Finish(engine, request) => {
                let place = state.running[engine].iter().position(|(r, ..)| *r == request)?;
                let (_, attempt, conn) = state.running[engine].remove(place);
                state.down[engine][conn].push(Reply::Served(request, attempt));
            }
            Step::Hear(at) => self.hear(&mut state, at),
            Step::Cut((engine, conn)) => state.cut[engine][conn] = true,
            Step::Die(engine) => self.die(&mut state, engine),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Attempts>> {
        vec![
            Property::always("one attempt runs at most", |_, state: &State| {
                (0..REQUESTS).all(|request| {
                    let runs = state.running.iter().flatten().filter(|(r, ..)| *r == request);
                    runs.count() <= 1
                })
            }),
            Property::always("one final answer at most", |_, state: &State| {
                state.answers.iter().all(|answers| *answers <= 1)
            }),
            Property::always("a load runs once at most", |model: &Attempts, state: &State| {
                (0..REQUESTS).all(|request| model.safe(request) || state.runs[request] <= 1)
            }),
            Property::sometimes("both are answered", |_, state: &State| state.answers == [1; REQUESTS]),
        ]
    }
}
