#pragma once

#include "soak/ProcessCell.h"
#include "soak/SoakClients.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

/** A cell that loses processes and workers at the moment of an answer, and checks what was accepted or cancelled before. */
class LossCell
{
public:
    /** @param taskTime the shortest and the longest run of a task */
    LossCell(unsigned seed, const std::string &folder, std::pair<Milliseconds, Milliseconds> taskTime);

    /** Waits until the cell has an owner that accepts jobs. */
    bool waitForOwner();
    /** Submits jobs of two steps, every second one at two processes. */
    void submitJobs(int count);
    /** Cancels about half of the jobs that are accepted and not ended. */
    void cancelJobs();

    /** Calls the action from within the handler of an answer, once so many submissions were accepted from now on. */
    void afterAccepted(int count, std::function<void(const std::string &id)> action);
    /** As afterAccepted() for acknowledged cancellations. */
    void afterCancelled(int count, std::function<void(const std::string &id)> action);

    /** Kills all entry processes, and ends all workers; they return within a second, the last worker only with returnWorkers(). */
    void loseEverything();
    /** Ends all workers; they return as after loseEverything(). */
    void loseWorkers();
    /** Kills the owner, which returns within a second. */
    void killOwner();
    /** Sends SIGTERM to the owner, which is started again once it has exited. */
    void stopOwner();
    /** All workers that are gone return as new incarnations. */
    void returnWorkers();

    /** Asks for the jobs until each that was accepted has ended. @return false if one has not within the limit */
    bool waitForEnds(Milliseconds limit);
    /** A text for each violated guarantee so far, and for each accepted job that is not completed or cancelled. */
    std::vector<std::string> violations() const;

    ProcessCell cell;
    SoakClients clients;
    int startCount = 0;
    int lossCount = 0;

private:
    void endWorkers();
    void endWorker(const std::string &id);
    void returnWorker(const std::string &id);
    void restartLater(EntryProcess &entry);
    bool hasEnded(const SoakClients::Job &job) const;

    int lastJobNumber_ = 0;
    std::set<std::string> goneWorkers_;
    std::vector<std::string> lateStarts_;
};

} // namespace auburndoor
