#pragma once

namespace coltsfoottide::direct {

// Decision of SheddingPolicy on a submitted job.
enum class AdmissionVerdict {
  kAdmit,
  // The queues make the job useless, or it makes others of its priority late.
  kBacklog,
  // The job is refused in favour of more urgent ones.
  kMoreUrgentWork,
};

}  // namespace coltsfoottide::direct
