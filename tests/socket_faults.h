// Faults of single connections, set on one end of them.
#ifndef TESTS_SOCKET_FAULTS_H_
#define TESTS_SOCKET_FAULTS_H_

#include <linux/filter.h>
#include <sys/socket.h>

namespace burdockhatch {

// Makes the kernel drop all that arrives on the connection, so that its peer
// gets no acknowledgement either.
inline bool DropIncoming(int fd) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop_all};
  return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                    sizeof(program)) == 0;
}

// Ends the effect of DropIncoming.
inline bool AcceptIncoming(int fd) {
  const int unused = 0;
  return setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                    sizeof(unused)) == 0;
}

// Makes the kernel reset the connection when it is closed.
inline bool ResetOnClose(int fd) {
  const linger option{1, 0};
  return setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option)) == 0;
}

}  // namespace burdockhatch

#endif  // TESTS_SOCKET_FAULTS_H_
