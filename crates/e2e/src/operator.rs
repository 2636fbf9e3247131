//! Actions of operators: publishing a configuration and topping up the budget.

use crate::{
    BoxError, Cluster,
    call::MODEL,
    cluster::{BUDGET, REGION},
};
use mallowpath::{
    Incarnation, IniDocument, LEDGER_SHARDS, LedgerBatch, LedgerEntry, LedgerRecord,
    PublishOutcome, Tokens, TopUpRecord, ledger_stream, publish, sections_of_document, shard_of,
};
use prost::Message;

impl Cluster {
    /// Publishes the configuration with `budget` as the tokens of the budget.
    ///
    /// # Errors
    ///
    /// Fails as [`mallowpath::publish`] does.
    pub async fn publish(&self, budget: Tokens, author: &str) -> Result<PublishOutcome, BoxError> {
        self.publish_with(budget, "", author).await
    }

    /// Publishes the configuration with `budget` as the tokens of the budget and the sections in
    /// `extra_sections` added.
    ///
    /// # Errors
    ///
    /// Fails as [`mallowpath::publish`] does.
    pub async fn publish_with(
        &self,
        budget: Tokens,
        extra_sections: &str,
        author: &str,
    ) -> Result<PublishOutcome, BoxError> {
        let max_output_tokens = self.settings.max_output_tokens;
        let mut text = format!(
            "[workspace demo]\n\
             key_sha256 = c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c\n\
             budget = {BUDGET}\nservices = *\nhome_region = {REGION}\n\
             [budget {BUDGET}]\nworkspace = demo\ntokens = {budget}\n\
             [service {MODEL}]\nkind = model\nmax_output_tokens = {max_output_tokens}\n\
             timeout_ms = 20000\n"
        );
        for (service, _) in &self.settings.services {
            let header = format!("[service {service}]\n");
            if text.contains(&header) {
                continue;
            }
            text.push_str(&header);
            text.push_str("kind = plain\ntokens_per_call = 3\ntimeout_ms = 20000\n");
        }
        text.push_str(extra_sections);
        let mut document = IniDocument::default();
        document.merge_text("fleet.ini", &text);
        Ok(publish(&self.log_client(), &sections_of_document(&document), author).await?)
    }

    /// Appends a top-up of the budget to the ledger, as an operator's top-up does.
    ///
    /// # Errors
    ///
    /// Fails when the log service does not accept the record.
    pub async fn top_up(&self, id: &str, tokens: Tokens) -> Result<(), BoxError> {
        let log = self.log_client();
        let stream = ledger_stream(shard_of(&self.budget(), LEDGER_SHARDS));
        let (_, next) = log.bounds(&stream).await?;
        let top_up = TopUpRecord {
            budget: BUDGET.to_owned(),
            id: id.to_owned(),
            tokens: tokens.0,
            issued_at: next.0,
        };
        let batch = LedgerBatch {
            author: Incarnation::random().0,
            sequence: 1,
            records: vec![LedgerRecord {
                entry: Some(LedgerEntry::TopUp(top_up)),
            }],
        };
        log.append(&stream, batch.encode_to_vec().into()).await?;
        Ok(())
    }
}
