//! Runs the gateway instances and stores the engine lists that messages refer to by number.

use crate::action::write_action;
use crate::error::LineError;
use crate::message::{read_message, EngineListMessage, Message, RequestMessage, StartMessage};
use beamgap::{Action, ClassId, EngineEntry, Event, Gateway, Micros};
use std::collections::{BTreeMap, HashMap};

/// Last line of every reply.
const END_OF_REPLY: &str = "ok\n";

/// A running gateway, and the index of each of its classes by class name.
struct Instance {
    gateway: Gateway,
    class_indices: HashMap<String, usize>,
}

/// An engine list whose entries are still being read.
struct OpenList {
    list: u8,
    entries_left: usize,
}

impl OpenList {
    /// Returns `None` if the list has no further entries to read.
    fn new(list: u8, entries_left: usize) -> Option<Self> {
        (entries_left > 0).then_some(OpenList { list, entries_left })
    }
}

/// State of the program: running gateway instances, engine lists received so far, and the batch being read.
#[derive(Default)]
pub struct Host {
    now: Micros,
    batch_is_open: bool,
    lists: BTreeMap<u8, Vec<EngineEntry>>,
    open_list: Option<OpenList>,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Handles one input line. Returns the reply to the whole batch if the line ends the batch.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, LineError> {
        let message = read_message(line)?;
        if let Some(open_list) = self.open_list.take() {
            self.add_entry(open_list, message, line)?;
            return Ok(None);
        }
        if !self.batch_is_open {
            self.open_batch(&message, line)?;
            return Ok(None);
        }
        self.handle_message(message, line)?;
        if self.batch_is_open {
            return Ok(None);
        }
        Ok(Some(std::mem::take(&mut self.reply)))
    }

    /// Whether a batch has started and its last line has not been read yet.
    pub fn batch_is_open(&self) -> bool {
        self.batch_is_open
    }

    fn open_batch(&mut self, message: &Message, line: &str) -> Result<(), LineError> {
        let Message::Clock(now) = message else { return Err(unexpected_line(line, "a clock line")) };
        self.now = *now;
        self.batch_is_open = true;
        Ok(())
    }

    fn handle_message(&mut self, message: Message, line: &str) -> Result<(), LineError> {
        match message {
            Message::Clock(_) => Err(unexpected_line(line, "an event or eof_batch")),
            Message::EndOfBatch => {
                self.batch_is_open = false;
                self.reply.push_str(END_OF_REPLY);
                Ok(())
            }
            Message::Start(start) => self.start(start),
            Message::Shutdown { instance } => {
                self.instances.remove(&instance);
                Ok(())
            }
            Message::List { list, entries } => {
                self.lists.insert(list, Vec::new());
                self.open_list = OpenList::new(list, entries);
                Ok(())
            }
            Message::Entry(_) => Err(unexpected_line(line, "an event: no list is open")),
            Message::EngineList(message) => self.engine_list(&message, line),
            Message::Event { instance, event } => self.event(instance, event, line),
            Message::Request(message) => self.request(message, line),
        }
    }

    fn add_entry(&mut self, open_list: OpenList, message: Message, line: &str) -> Result<(), LineError> {
        let Message::Entry(entry) = message else { return Err(unexpected_line(line, "an engine line")) };
        self.lists.entry(open_list.list).or_default().push(entry);
        self.open_list = OpenList::new(open_list.list, open_list.entries_left - 1);
        Ok(())
    }

    fn start(&mut self, start: StartMessage) -> Result<(), LineError> {
        let classes = start.settings.classes.iter().enumerate();
        let class_indices = classes.map(|(index, class)| (class.name.clone(), index)).collect();
        let gateway =
            Gateway::new(*start.settings, start.seed).map_err(|source| LineError::Settings { source })?;
        self.instances.insert(start.instance, Instance { gateway, class_indices });
        Ok(())
    }

    fn engine_list(&mut self, message: &EngineListMessage, line: &str) -> Result<(), LineError> {
        let Some(kind) = message.kind else {
            return self.event(message.instance, Event::ListFailed, line);
        };
        let entries = message.list.and_then(|list| self.lists.get(&list)).cloned();
        let Some(entries) = entries else { return Err(LineError::UnknownList { line: line.to_owned() }) };
        let event = Event::EngineList { kind, version: message.version, entries };
        self.event(message.instance, event, line)
    }

    fn request(&mut self, message: RequestMessage, line: &str) -> Result<(), LineError> {
        let Some(instance) = self.instances.get(&message.instance) else {
            return Err(LineError::UnknownInstance { line: line.to_owned() });
        };
        let Some(index) = instance.class_indices.get(&message.class) else {
            return Err(LineError::UnknownClass { class: message.class });
        };
        let mut request = message.request;
        request.class = ClassId(*index);
        self.event(message.instance, Event::RequestArrived(request), line)
    }

    /// Passes an event to a gateway instance and appends the resulting actions to the reply.
    fn event(&mut self, number: u32, event: Event, line: &str) -> Result<(), LineError> {
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(LineError::UnknownInstance { line: line.to_owned() });
        };
        instance.gateway.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(number, &action, &mut self.reply);
        }
        Ok(())
    }
}

fn unexpected_line(line: &str, expected: &'static str) -> LineError {
    LineError::UnexpectedLine { line: line.to_owned(), expected }
}
