#pragma once

#include "core/ManualClock.h"
#include "fakes/FakeTableService.h"
#include "fakes/FakeWorker.h"
#include "observability/Metrics.h"
#include "pipeline/IdempotencyFilter.h"
#include "pipeline/RequestRecordStore.h"
#include "pipeline/TaskAccess.h"
#include "pipeline/TaskResolver.h"
#include "placement/BestFitPlacer.h"
#include "placement/CapacityLedger.h"
#include "placement/RunTimeEstimator.h"
#include "storage/ObjectStore.h"

namespace auburndoor {

/** Queries and cancels the tasks of one fake worker. */
class FakeTaskAccess : public TaskAccess
{
public:
    explicit FakeTaskAccess(FakeWorker &worker) : worker_(worker)
    {
    }

    std::optional<TaskStatus> query(const WorkerId &, const TaskId &task, TimePoint deadline, Failure &failure) override
    {
        return worker_.query(task, deadline, failure);
    }

    std::optional<TaskStatus> cancel(const WorkerId &, const TaskId &task, TimePoint deadline, Failure &failure) override
    {
        return worker_.cancel(task, 1, deadline, failure);
    }

private:
    FakeWorker &worker_;
};

/** An object store that stores nothing: each write succeeds, each read fails. */
class DiscardingObjectStore : public ObjectStore
{
public:
    bool put(const std::string &, const std::string &, TimePoint, Failure &) override
    {
        return true;
    }

    std::optional<std::string> get(const std::string &, TimePoint, Failure &) override
    {
        return std::nullopt;
    }
};

/** Claims records and starts tasks as one instance does, with a table and a worker that instances share. */
class IdempotencyTestInstance
{
public:
    IdempotencyTestInstance(ManualClock &clock, TableService &table, FakeWorker &worker)
        : clock_(clock)
        , worker_(worker)
        , access_(worker)
        , resolver_(clock, access_)
        , records_(clock, metrics_, table, objects_)
        , ledger_(placer_)
        , filter_(clock, records_, resolver_, ledger_, estimator_)
    {
    }

    /** The context of a non-repeatable request with a reservation. */
    RequestContext makeContext(const std::string &request, const std::string &key, const std::string &body) const
    {
        RequestContext context;
        context.request.id = RequestId(request);
        context.request.team = TeamId("team");
        context.request.service = ServiceId("namedesk");
        context.request.idempotencyKey = key;
        context.request.isRepeatable = false;
        context.request.deadline = clock_.now() + std::chrono::seconds(60);
        context.request.body = body;
        return context;
    }

    /** Claims the record for a new attempt. @return empty if the task may be started, else the outcome */
    std::optional<Outcome> record(RequestContext &context)
    {
        ++context.attempt;
        context.reservation = Reservation { context.task().text(), worker_.id(), ShardId("harbour/0"), 1, "address" };
        return filter_.apply(context);
    }

    /** Starts the task of the current attempt and waits for its answer. */
    CallResult start(const RequestContext &context)
    {
        TaskStart taskStart;
        taskStart.id = context.task();
        taskStart.epoch = 1;
        taskStart.latestStart = clock_.wallNow() + std::chrono::hours(1);
        taskStart.lease = std::chrono::hours(1);
        taskStart.body = context.request.body;
        Failure failure;
        return worker_.call(taskStart, context.request.deadline, failure);
    }

    /** Queues the answer of a request to be stored in its record. */
    void storeOutcome(const RequestContext &context, const std::string &answer)
    {
        RequestRecord record;
        record.state = RecordState::Answered;
        record.task = context.task();
        record.worker = worker_.id();
        record.answer = answer;
        record.requestDigest = RequestRecord::digestOf(context.request);
        records_.storeOutcome(*context.record, record);
    }

    /** Removes old records. @return their number; -1 on failure */
    long long removeExpired()
    {
        Failure failure;
        return records_.removeExpired(failure).value_or(-1);
    }

    /** Runs a request to its outcome, with new attempts after a conflict as Pipeline does. */
    Outcome run(RequestContext &context)
    {
        while (true) {
            auto outcome = record(context);
            if (outcome && outcome->failure.reason == FailureReason::Conflict) {
                continue;
            }
            if (outcome) {
                return *outcome;
            }
            const auto result = start(context);
            if (result.status == CallStatus::Answered) {
                storeOutcome(context, result.answer);
                return { OutcomeStatus::Answered, result.answer, {}, {}, worker_.id(), {} };
            }
            // The start was refused because another attempt has cancelled the task, so that it did not run: try again.
        }
    }

private:
    ManualClock &clock_;
    FakeWorker &worker_;
    Metrics metrics_;
    FakeTaskAccess access_;
    TaskResolver resolver_;
    DiscardingObjectStore objects_;
    RequestRecordStore records_;
    BestFitPlacer placer_;
    CapacityLedger ledger_;
    RunTimeEstimator estimator_;
    IdempotencyFilter filter_;
};

} // namespace auburndoor
