//! Tells the accounts of a router that ends to those that stay.
//!
//! A store that is restored may have lost the last records of a router that has ended, which then writes
//! them no more. The routers that stay count them further on.

use super::{keeper_client::KeeperClient, ledger::Account};
use crate::process::{Gateway, PeerRouter};
use futures_util::future::join_all;
use mallowpath::{Done, FrameBody, LastAccounts, Responder, Result, ShardAccount};
use std::sync::Arc;
use tokio::time::timeout;

/// Tells the last accounts of this router, which draws no more, to all that are reachable.
///
/// Those that do not answer in time are logged.
pub(crate) async fn tell_last_accounts(gateway: &Gateway) {
    let mut accounts = Vec::new();
    for (shard, account) in gateway.budgets.own_accounts() {
        let shard = u32::try_from(shard).unwrap_or(u32::MAX);
        accounts.push(ShardAccount {
            shard,
            account: account.without_demand().encode(),
        });
    }
    if accounts.is_empty() {
        return;
    }
    let message = LastAccounts {
        router: gateway.settings.account.to_string(),
        accounts,
    };
    let peers = gateway.directory.reachable_peers();
    let client = &gateway.keeper_client;
    join_all(peers.iter().map(|peer| tell(client, peer, &message))).await;
}

async fn tell(client: &KeeperClient, peer: &PeerRouter, message: &LastAccounts) {
    let time = client.settings.first_answer_timeout();
    let answer = timeout(time, ask_to_keep(client, peer, message.clone())).await;
    match answer {
        Ok(Ok(Some(FrameBody::Done(_)))) => {}
        Ok(Err(error)) => log::warn!(
            target: "budget",
            "can't tell the last accounts to {}: {error}",
            peer.name,
        ),
        Ok(Ok(_)) | Err(_) => log::warn!(
            target: "budget",
            "{} did not confirm that it keeps the last accounts",
            peer.name,
        ),
    }
}

async fn ask_to_keep(
    client: &KeeperClient,
    peer: &PeerRouter,
    message: LastAccounts,
) -> Result<Option<FrameBody>> {
    let link = client.dialer.link(peer.address).await?;
    let mut call = link.open_call(FrameBody::LastAccounts(message)).await?;
    let answer = call.next().await;
    call.finish();
    Ok(answer)
}

/// Keeps the last accounts of another router; confirms it if all of them are kept.
pub(crate) async fn keep_last_accounts(
    gateway: Arc<Gateway>,
    message: LastAccounts,
    responder: Responder,
) {
    if *message.router == *gateway.settings.account {
        log::warn!(target: "budget", "ignoring accounts of this router that another one tells");
        return;
    }
    let router: Arc<str> = Arc::from(message.router);
    for ShardAccount { shard, account } in message.accounts {
        let account = match Account::decode(&router, account) {
            Ok(account) => account,
            Err(error) => {
                log::error!(target: "budget", "can't keep the last account of a router: {error}");
                return;
            }
        };
        let shard = usize::try_from(shard).unwrap_or(usize::MAX);
        let router = Arc::clone(&router);
        if !gateway
            .budgets
            .keep_account(shard, Arc::clone(&router), account)
        {
            log::warn!(
                target: "budget",
                "can't keep the last account of {router}: shard {shard} was not read yet",
            );
            return;
        }
    }
    if !responder.send(FrameBody::Done(Done {})).await {
        log::debug!(target: "budget", "{router} does not wait for the answer");
    }
}
