//! As a decider: opens its disk, takes part, looks after its part, and answers what waits for a majority's word.

use super::*;

impl Inner {
    /// Opens the disk and takes part, for ever: whenever the disk fails, stands aside and opens it anew.
    pub(super) async fn decide(self: Arc<Inner>, disk: SharedDisk) {
        loop {
            if let Err(why) = self.sit(&disk).await {
                tracing::error!(target: "fleet", "disk: {why}; stands aside: neither votes nor leads");
                lock(&self.now).disk = why;
            }
            lock(&self.machine).role(self.clock(), false);
            let raft = {
                let mut now = lock(&self.now);
                (now.store, now.elector) = (None, None);
                now.raft.take()
            };
            if let Some(raft) = raft {
                // What hangs in its end holds nothing that counts: its store is broken or gone.
                let _ = timeout(Duration::from_secs(2), raft.shutdown()).await;
            }
            sleep(AGAIN).await;
        }
    }

    async fn sit(&self, disk: &SharedDisk) -> Result<(), String> {
        let settings = &self.settings;
        let folder = settings.folder.as_ref().ok_or("fleet.folder is missing")?;
        let store = Store::open(folder, disk, !settings.plants.unsynced).map_err(|e| e.to_string())?;
        let store: SharedStore = Arc::new(Mutex::new(store));
        {
            let mut now = lock(&self.now);
            (now.store, now.disk) = (Some(store.clone()), "good".to_owned());
        }
        let marker = loop {
            let marker = lock(&store).marker().map_err(|e| e.to_string())?;
            if let Some(marker) = marker {
                break marker;
            }
            if !lock(&store).is_whole() {
                return Err("the disk failed".to_owned());
            }
            let _ = timeout(AGAIN, self.marked.notified()).await; // Looked for again in any case.
        };
        if marker.fleet != settings.fleet || Some(marker.id % SEATS) != settings.seat {
            return Err(format!(
                "fleet.folder {}: belongs to decider {} of fleet {}; give this decider its own folder",
                folder.display(),
                marker.id % SEATS,
                marker.fleet
            ));
        }
        let config = openraft::Config {
            cluster_name: settings.fleet.clone(),
            heartbeat_interval: elect::HEARTBEAT_MS,
            election_timeout_min: 300,
            election_timeout_max: 500,
            max_payload_entries: 100,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(LOG_MOST),
            max_in_snapshot_log_to_keep: LOG_KEPT,
            snapshot_max_chunk_size: 256 * 1024,
            // When to stand is decided here, by a majority's word beforehand.
            enable_elect: false,
            ..openraft::Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| e.to_string())?);
        lock(&self.now).founding = Some(marker.founding);
        let mut hello = Hello::new(&settings.fleet, &settings.member);
        hello.founding = Some(marker.founding);
        let links = Links { hello, traffic: self.traffic.clone(), book: self.book.clone() };
        let applied = Applied::open(store.clone(), self.machine.clone())?;
        let raft = Raft::new(marker.id, config, links, Log(store.clone()), applied).await;
        let raft = raft.map_err(|e| e.to_string())?;
        lock(&self.now).raft = Some(raft.clone());
        tracing::info!(target: "fleet", "decides: seat={} id={}", marker.id % SEATS, marker.id);
        self.lead(&raft, &store, marker.id).await
    }

    /// Looks after the decider's part, until its disk fails.
    async fn lead(&self, raft: &Raft, store: &SharedStore, id: u64) -> Result<(), String> {
        let (words, mut heard) = mpsc::channel::<(u64, bool)>(64);
        let mut others: BTreeSet<u64> = BTreeSet::new();
        loop {
            let now = self.clock();
            let metrics = raft.metrics().borrow().clone();
            if let Err(e) = &metrics.running_state {
                return Err(e.to_string());
            }
            if !lock(store).is_whole() {
                return Err("the disk failed".to_owned());
            }
            let voters: BTreeSet<u64> = metrics.membership_config.membership().voter_ids().collect();
            let among = voters.contains(&id);
            let rest: BTreeSet<u64> = voters.into_iter().filter(|other| *other != id).collect();
            if lock(&self.now).elector.is_none() || rest != others {
                lock(&self.now).elector =
                    Some(Elector::new(now, rest.len(), self.settings.seed ^ now.to_bits()));
                others = rest;
            }
            let leads = metrics.state == ServerState::Leader && metrics.current_leader == Some(id);
            lock(&self.machine).role(now, leads);
            let mut act = None;
            if leads {
                if metrics.millis_since_quorum_ack.is_some_and(|ms| (ms as f64) < elect::QUIET_MS) {
                    lock(&self.now).elector.iter_mut().for_each(|e| e.heard(now));
                }
                let commands = lock(&self.machine).tick(now);
                self.commit(raft, commands);
            } else if among {
                act = lock(&self.now).elector.as_mut().and_then(|e| e.tick(now));
            }
            while let Ok((round, yes)) = heard.try_recv() {
                act = lock(&self.now).elector.as_mut().and_then(|e| e.word(now, round, yes)).or(act);
            }
            match act.filter(|_| !leads) {
                Some(elect::Act::Stand) => {
                    // Where it can't be asked for, the library has ended: the next turn sees that.
                    let _ = raft.trigger().elect().await;
                }
                Some(elect::Act::Ask(round)) => self.ask_words(store, round, &others, &words).await,
                None => {}
            }
            sleep(TICK).await;
        }
    }

    async fn ask_words(
        &self,
        store: &SharedStore,
        round: u64,
        others: &BTreeSet<u64>,
        words: &mpsc::Sender<(u64, bool)>,
    ) {
        let Some((term, index)) = last(store).await else { return };
        for other in others {
            let Some(mut link) = self.link(other % SEATS) else { continue };
            let words = words.clone();
            tokio::spawn(async move {
                let answer = link.ask(&Question::Word { term, index }, Duration::from_millis(200)).await;
                // Nobody waits any more where this can't be told.
                let _ = words.try_send((round, matches!(answer, Ok(Answer::Word(true)))));
            });
        }
    }

    fn commit(&self, raft: &Raft, commands: Vec<Vec<u8>>) {
        for command in commands {
            let raft = raft.clone();
            tokio::spawn(async move {
                // A command that is lost with its leader is asked for again by whoever wanted it.
                let _ = timeout(Duration::from_secs(2), raft.client_write(Command(command))).await;
            });
        }
    }

    /// Answers questions to the machine together: one confirmation by a majority for all that wait.
    pub(super) async fn batches(
        self: Arc<Inner>,
        mut waiting: mpsc::Receiver<(Vec<u8>, oneshot::Sender<Answer>)>,
    ) {
        while let Some(first) = waiting.recv().await {
            let mut batch = vec![first];
            while let Ok(more) = waiting.try_recv() {
                batch.push(more);
            }
            let elsewhere = match self.confirmed().await {
                Ok(raft) => {
                    for (question, to) in batch {
                        let (answer, commands) = lock(&self.machine).answer(self.clock(), &question);
                        self.commit(&raft, commands);
                        let _ = to.send(Answer::Machine(answer)); // Whoever asked may be gone.
                    }
                    continue;
                }
                Err(elsewhere) => elsewhere,
            };
            for (_, to) in batch {
                let _ = to.send(Answer::Elsewhere(elsewhere));
            }
        }
    }

    /// Confirms, after the call, that this decider leads and has applied all that was committed before; else who may.
    async fn confirmed(&self) -> Result<Raft, Option<Seat>> {
        let raft = self.raft().ok_or(None)?;
        let (state, id, leader) = {
            let metrics = raft.metrics().borrow().clone();
            (metrics.state, metrics.id, metrics.current_leader)
        };
        if state != ServerState::Leader {
            return Err(leader.filter(|l| *l != id).map(|l| l % SEATS));
        }
        if self.settings.plants.unconfirmed {
            return Ok(raft);
        }
        match timeout(CONFIRM, raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(raft),
            _ => Err(None),
        }
    }
}
