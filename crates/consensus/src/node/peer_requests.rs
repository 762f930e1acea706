//! What others ask a decider: the library's messages, words for an election, markers, how it is.

use super::*;

impl Inner {
    pub(super) async fn answer(&self, question: Question) -> Answer {
        let no = |e: &dyn std::fmt::Display| Answer::No(e.to_string());
        let blank = || Answer::No("its folder is blank or broken, or it lost what this id knew".to_owned());
        match question {
            Question::Append(to, rpc) => {
                let Some(raft) = self.raft_as(to) else { return blank() };
                match raft.append_entries(rpc).await {
                    Ok(answer) => {
                        if !matches!(answer, openraft::raft::AppendEntriesResponse::HigherVote(_)) {
                            let now = self.clock();
                            lock(&self.now).elector.iter_mut().for_each(|e| e.heard(now));
                        }
                        Answer::Append(answer)
                    }
                    Err(e) => no(&e),
                }
            }
            Question::Vote(to, rpc) => match self.raft_as(to) {
                None => blank(),
                Some(raft) => raft.vote(rpc).await.map_or_else(|e| no(&e), Answer::Vote),
            },
            Question::Snapshot(to, rpc) => match self.raft_as(to) {
                None => blank(),
                Some(raft) => raft.install_snapshot(rpc).await.map_or_else(|e| no(&e), Answer::Snapshot),
            },
            Question::Word { term, index } => Answer::Word(self.word(term, index).await),
            Question::Machine(question) => {
                let (to, answer) = oneshot::channel();
                if self.asks.try_send((question, to)).is_err() {
                    return Answer::No("too many questions wait".to_owned());
                }
                answer.await.unwrap_or(Answer::Elsewhere(None))
            }
            Question::Status => Answer::Status(Box::new(self.status())),
            Question::Mark(marker) => match self.mark(&marker) {
                Ok(()) => Answer::Done,
                Err(e) => Answer::No(e),
            },
            Question::Found => self.found().await.map_or_else(Answer::No, |()| Answer::Done),
            Question::Readmit(seat) => self.readmit(seat).await.map_or_else(Answer::No, |()| Answer::Done),
            Question::Remove(seat) => self.remove(seat).await.map_or_else(Answer::No, |()| Answer::Done),
        }
    }

    /// Whether this one gives its word for another leader: it hears none, and has no more in its log.
    async fn word(&self, term: u64, index: u64) -> bool {
        let (raft, store) = {
            let now = lock(&self.now);
            (now.raft.is_some(), now.store.clone())
        };
        let Some(store) = store.filter(|_| raft) else { return false };
        let now = self.clock();
        let hears = lock(&self.now).elector.as_ref().is_none_or(|e| e.hears(now));
        !hears && last(&store).await.is_some_and(|own| (term, index) >= own)
    }

    pub(super) fn mark(&self, marker: &Marker) -> Result<(), String> {
        if marker.fleet != self.settings.fleet || Some(marker.id % SEATS) != self.settings.seat {
            return Err("the marker is for another seat or fleet".to_owned());
        }
        let store = lock(&self.now).store.clone().ok_or("its disk is not open")?;
        lock(&store).mark(marker).map_err(|e| e.to_string())?;
        self.marked.notify_one();
        Ok(())
    }

    pub(super) fn status(&self) -> Status {
        let (raft, store, disk) = {
            let now = lock(&self.now);
            (now.raft.clone(), now.store.clone(), now.disk.clone())
        };
        let bytes = (self.traffic.read.load(Relaxed), self.traffic.written.load(Relaxed));
        let mut status = Status {
            member: self.settings.member.clone(),
            seat: self.settings.seat.unwrap_or_default(),
            role: if store.is_some() { "blank" } else { "broken" }.to_owned(),
            disk,
            bytes,
            ..Status::default()
        };
        if let Some(store) = store {
            let store = lock(&store);
            (status.disk_ok, status.writes) = (store.is_whole(), store.writes());
            status.id = store.marker().ok().flatten().map(|marker| marker.id);
        }
        if let Some(raft) = raft {
            let m = raft.metrics().borrow().clone();
            status.role = format!("{:?}", m.state).to_lowercase();
            (status.term, status.leader) = (m.current_term, m.current_leader);
            status.log = (m.last_log_index.unwrap_or(0), m.last_applied.map_or(0, |l| l.index));
            status.voters = m.membership_config.membership().voter_ids().collect();
            status.quorum_ms = m.millis_since_quorum_ack;
        }
        status
    }
}
