//! The attempt protocol as a state machine: two requests, two engines and two connections to each engine.
//!
//! Each connection delivers its messages in order; messages on different connections may overtake each other. The front
//! end cancels an attempt with `never_mind`. If the request will be retried, the front end also sends `there` on the same
//! connection and waits for the reply `green`, which confirms the cancel (`docs/design.md`, "Cancel and send again").
//! The model leaves out result pages, notes, priorities, partial writes and durations: only the order of events counts.

use stateright::{Model, Property};

/// Number of client requests in the model.
pub const REQUESTS: usize = 2;
/// Number of engines that a request can be sent to.
pub const ENGINES: usize = 2;
/// Number of connections from the front end to each engine.
pub const CONNS: usize = 2;

/// When the front end may retry a request after cancelling its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirm {
    /// Immediately, without waiting for a confirmation: the rule before confirmations were introduced.
    Never,
    /// Only after the engine has confirmed the cancel.
    Always,
    /// After the engine has confirmed the cancel, or after a timeout if the connection is cut and no reply arrives.
    UnlessCut,
}

/// Parameters of the model: the retry rules and the failures that the search explores.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// When a request may be retried after a cancel.
    pub confirm: Confirm,
    /// Whether request 0 is safe to run more than once; request 1 never is.
    pub first_is_safe: bool,
    /// Largest number of attempts for each request.
    pub max_attempts: u8,
    /// Whether connections may be cut permanently without either end noticing.
    pub cuts: bool,
    /// Whether each engine may crash once.
    pub crashes: bool,
    /// An injected bug: a load, which must not run twice, is retried after a connection reset.
    pub retries_loads: bool,
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts {
            confirm: Confirm::Always,
            first_is_safe: true,
            max_attempts: 2,
            cuts: false,
            crashes: true,
            retries_loads: false,
        }
    }
}

/// Destination of an attempt: the index of the engine and the index of the connection to that engine.
pub type Target = (usize, usize);

/// State of a request at the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The request is queued at the front end.
    Waiting,
    /// An attempt was sent to an engine and no reply has arrived.
    Sent(Target),
    /// The attempt was cancelled; the request may be retried after the engine confirms the cancel.
    Cancelled(Target),
    /// The client has received a final answer.
    Answered,
}

/// Message from the front end to an engine; the fields are the request and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// `want`: run the request.
    Want(usize, u8),
    /// `never_mind`: stop the attempt.
    NeverMind(usize, u8),
    /// `there`: asks the engine to reply with `green`.
    There(usize, u8),
}

/// Message from an engine to the front end; the fields are the request and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// `served`: the attempt has finished.
    Served(usize, u8),
    /// `green`: reply to `there`, which confirms that the engine has processed the `never_mind` sent before `there`.
    Green(usize, u8),
}

/// A state of the model: the front end, the connections and the engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// State of each request at the front end.
    pub phase: [Phase; REQUESTS],
    /// Number of attempts sent for each request.
    pub attempts: [u8; REQUESTS],
    /// Number of final answers that the client received for each request.
    pub answers: [u8; REQUESTS],
    /// How many times each request started to run, on any engine.
    pub runs: [u8; REQUESTS],
    /// Messages in flight to the engines, for each engine and connection, oldest first.
    pub to_engine: [[Vec<Command>; CONNS]; ENGINES],
    /// Messages in flight to the front end, for each engine and connection, oldest first.
    pub to_front_end: [[Vec<Reply>; CONNS]; ENGINES],
    /// Attempts that run on each engine: the request, the attempt's number and the connection that carried the attempt.
    pub running: [Vec<(usize, u8, usize)>; ENGINES],
    /// Connections that no longer deliver anything, although neither end has noticed.
    pub cut: [[bool; CONNS]; ENGINES],
    /// Engines that have crashed; each engine crashes at most once.
    pub crashed: [bool; ENGINES],
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The front end sends an attempt of a request to an engine.
    Send(usize, Target),
    /// The front end cancels the current attempt of a request in order to retry the request.
    Cancel(usize),
    /// The front end stops waiting for the confirmation of a cancel because the timeout has passed.
    ConfirmationTimeout(usize),
    /// An engine reads the next message of a connection.
    Read(Target),
    /// An engine finishes an attempt of a request and replies `served`.
    Finish(usize, usize),
    /// The front end reads the next message of a connection.
    Receive(Target),
    /// A connection silently stops delivering messages in both directions.
    Cut(Target),
    /// An engine crashes and restarts without its attempts; its connections are reset.
    Crash(usize),
}

impl Attempts {
    fn may_run_twice(&self, request: usize) -> bool {
        self.first_is_safe && request == 0
    }

    fn receive(&self, state: &mut State, (engine, conn): Target) {
        match state.to_front_end[engine][conn].remove(0) {
            Reply::Served(request, attempt) => {
                // A late reply to a cancelled attempt does not answer the request: only the latest attempt counts.
                if state.phase[request] == Phase::Sent((engine, conn)) && state.attempts[request] == attempt {
                    state.phase[request] = Phase::Answered;
                    state.answers[request] += 1;
                }
            }
            Reply::Green(request, attempt) => {
                if state.phase[request] == Phase::Cancelled((engine, conn))
                    && state.attempts[request] == attempt
                {
                    self.end_attempt(state, request);
                }
            }
        }
    }

    /// Ends an attempt that may have run: the request is retried if that is allowed, otherwise the client gets an error.
    fn end_attempt(&self, state: &mut State, request: usize) {
        if self.may_run_twice(request) && state.attempts[request] < self.max_attempts || self.retries_loads {
            state.phase[request] = Phase::Waiting;
        } else {
            state.phase[request] = Phase::Answered;
            state.answers[request] += 1;
        }
    }

    fn crash(&self, state: &mut State, engine: usize) {
        state.crashed[engine] = true;
        state.running[engine].clear();
        state.to_engine[engine].iter_mut().for_each(Vec::clear);
        state.to_front_end[engine].iter_mut().for_each(Vec::clear);
        state.cut[engine] = [false; CONNS];
        for request in 0..REQUESTS {
            match state.phase[request] {
                Phase::Sent((sent_to, _)) | Phase::Cancelled((sent_to, _)) if sent_to == engine => {
                    self.end_attempt(state, request)
                }
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
            attempts: [0; REQUESTS],
            answers: [0; REQUESTS],
            runs: [0; REQUESTS],
            to_engine: Default::default(),
            to_front_end: Default::default(),
            running: Default::default(),
            cut: Default::default(),
            crashed: [false; ENGINES],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for request in 0..REQUESTS {
            match state.phase[request] {
                Phase::Waiting if state.attempts[request] < self.max_attempts => {
                    for engine in 0..ENGINES {
                        actions.extend((0..CONNS).map(|conn| Step::Send(request, (engine, conn))));
                    }
                }
                Phase::Sent(_)
                    if self.may_run_twice(request) && state.attempts[request] < self.max_attempts =>
                {
                    actions.push(Step::Cancel(request));
                }
                Phase::Cancelled((engine, conn))
                    if self.confirm == Confirm::UnlessCut && state.cut[engine][conn] =>
                {
                    actions.push(Step::ConfirmationTimeout(request));
                }
                _ => {}
            }
        }
        for engine in 0..ENGINES {
            for conn in 0..CONNS {
                if state.cut[engine][conn] {
                    continue;
                }
                if !state.to_engine[engine][conn].is_empty() {
                    actions.push(Step::Read((engine, conn)));
                }
                if !state.to_front_end[engine][conn].is_empty() {
                    actions.push(Step::Receive((engine, conn)));
                }
                if self.cuts {
                    actions.push(Step::Cut((engine, conn)));
                }
            }
            actions.extend(state.running[engine].iter().map(|(request, ..)| Step::Finish(engine, *request)));
            if self.crashes && !state.crashed[engine] {
                actions.push(Step::Crash(engine));
            }
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Send(request, (engine, conn)) => {
                state.attempts[request] += 1;
                state.phase[request] = Phase::Sent((engine, conn));
                state.to_engine[engine][conn].push(Command::Want(request, state.attempts[request]));
            }
            Step::Cancel(request) => {
                let Phase::Sent((engine, conn)) = state.phase[request] else { return None };
                let attempt = state.attempts[request];
                state.to_engine[engine][conn].push(Command::NeverMind(request, attempt));
                if self.confirm == Confirm::Never {
                    self.end_attempt(&mut state, request);
                } else {
                    state.to_engine[engine][conn].push(Command::There(request, attempt));
                    state.phase[request] = Phase::Cancelled((engine, conn));
                }
            }
            Step::ConfirmationTimeout(request) => self.end_attempt(&mut state, request),
            Step::Read((engine, conn)) => match state.to_engine[engine][conn].remove(0) {
                Command::Want(request, attempt) => {
                    state.running[engine].push((request, attempt, conn));
                    state.runs[request] += 1;
                }
                Command::NeverMind(request, attempt) => {
                    state.running[engine].retain(|(r, a, _)| (*r, *a) != (request, attempt));
                }
                Command::There(request, attempt) => {
                    state.to_front_end[engine][conn].push(Reply::Green(request, attempt))
                }
            },
            Step::Finish(engine, request) => {
                let index = state.running[engine].iter().position(|(r, ..)| *r == request)?;
                let (_, attempt, conn) = state.running[engine].remove(index);
                state.to_front_end[engine][conn].push(Reply::Served(request, attempt));
            }
            Step::Receive(target) => self.receive(&mut state, target),
            Step::Cut((engine, conn)) => state.cut[engine][conn] = true,
            Step::Crash(engine) => self.crash(&mut state, engine),
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
                (0..REQUESTS).all(|request| model.may_run_twice(request) || state.runs[request] <= 1)
            }),
            Property::sometimes("both are answered", |_, state: &State| state.answers == [1; REQUESTS]),
        ]
    }
}
